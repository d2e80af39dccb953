package org.banyanhook.daemon.caller;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.banyanhook.core.error.RefusalException;

/** The filters that still have to handle a request. Immutable. */
public final class FilterChain {

    private final List<RequestFilter> filters;

    private FilterChain(List<RequestFilter> filters) {
        this.filters = filters;
    }

    /**
     * Creates a chain.
     *
     * @param filters the filters in order; the last one must reply to every request that reaches it
     * @return the chain
     */
    public static FilterChain of(List<RequestFilter> filters) {
        return new FilterChain(ImmutableList.copyOf(filters));
    }

    /**
     * Passes a request to the next filter.
     *
     * @param exchange the request
     * @return the reply; failed with a {@link RefusalException} if a filter refuses the request
     */
    public CompletableFuture<CallerReply> proceed(CallerExchange exchange) {
        if (filters.isEmpty()) {
            return CompletableFuture.failedFuture(
                    new IllegalStateException("no filter of the chain replied to the request"));
        }
        FilterChain remainingChain = new FilterChain(filters.subList(1, filters.size()));
        try {
            return filters.get(0).handle(exchange, remainingChain);
        } catch (RefusalException refusal) {
            return CompletableFuture.failedFuture(refusal);
        }
    }
}
