package org.banyanhook.daemon.caller;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.banyanhook.core.error.RefusalException;

/** The steps that a request still has to pass. Immutable. */
public final class FilterChain {

    private final List<RequestFilter> filters;

    private FilterChain(List<RequestFilter> filters) {
        this.filters = filters;
    }

    /**
     * Creates a chain.
     *
     * @param filters the steps in their order; the last one replies and passes nothing on
     * @return the chain
     */
    public static FilterChain of(List<RequestFilter> filters) {
        return new FilterChain(ImmutableList.copyOf(filters));
    }

    /**
     * Passes a request to the next step.
     *
     * @param exchange the request
     * @return the reply; failed with a {@link RefusalException} if a step refuses
     */
    public CompletableFuture<CallerReply> proceed(CallerExchange exchange) {
        if (filters.isEmpty()) {
            return CompletableFuture.failedFuture(new IllegalStateException("the last filter of the chain must reply"));
        }
        FilterChain remainingChain = new FilterChain(filters.subList(1, filters.size()));
        try {
            return filters.get(0).handle(exchange, remainingChain);
        } catch (RefusalException refusal) {
            return CompletableFuture.failedFuture(refusal);
        }
    }
}
