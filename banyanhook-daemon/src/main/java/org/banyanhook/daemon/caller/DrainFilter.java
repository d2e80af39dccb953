package org.banyanhook.daemon.caller;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.CompletableFuture;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.daemon.execution.DrainWatch;

/**
 * Refuses new requests once this entry VM has been drained, or its failure domain taken out, for longer than the grace
 * period. Requests that continue an open transaction are still admitted.
 */
public final class DrainFilter implements RequestFilter {

    private final DrainWatch drainWatch;

    /**
     * Creates a filter.
     *
     * @param drainWatch checks whether this entry VM is in service
     */
    public DrainFilter(DrainWatch drainWatch) {
        this.drainWatch = requireNonNull(drainWatch, "drainWatch");
    }

    @Override
    public CompletableFuture<CallerReply> handle(CallerExchange exchange, FilterChain next) throws RefusalException {
        if (!exchange.operation().continuesTransaction()) {
            drainWatch.requireInService();
        }
        return next.proceed(exchange);
    }
}
