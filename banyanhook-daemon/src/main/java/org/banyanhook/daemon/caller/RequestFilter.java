package org.banyanhook.daemon.caller;

import java.util.concurrent.CompletableFuture;
import org.banyanhook.core.error.RefusalException;

/** One step in the handling of callers' requests. Implementations must be thread-safe and must not block. */
@FunctionalInterface
public interface RequestFilter {
    /**
     * Replies to a request, refuses it or passes it to the next filter.
     *
     * @param exchange the request
     * @param next the filters after this one
     * @return the reply; failed with a {@link RefusalException} if a later filter refuses the request
     * @throws RefusalException if this filter refuses the request
     */
    CompletableFuture<CallerReply> handle(CallerExchange exchange, FilterChain next) throws RefusalException;
}
