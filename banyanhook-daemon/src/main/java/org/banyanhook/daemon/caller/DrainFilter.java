package org.banyanhook.daemon.caller;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.CompletableFuture;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.daemon.execution.DepartureWatch;

/** Refuses new work once the failure domain of this entry VM is taken out; open transactions go on to their end. */
public final class DrainFilter implements RequestFilter {

    private final DepartureWatch drainWatch;

    /**
     * Creates a filter.
     *
     * @param drainWatch knows whether the failure domain is taken out
     */
    public DrainFilter(DepartureWatch drainWatch) {
        this.drainWatch = requireNonNull(drainWatch, "departures");
    }

    @Override
    public CompletableFuture<CallerReply> handle(CallerExchange exchange, FilterChain next) throws RefusalException {
        if (!exchange.operation().continuesTransaction()) {
            drainWatch.requireInService();
        }
        return next.proceed(exchange);
    }
}
