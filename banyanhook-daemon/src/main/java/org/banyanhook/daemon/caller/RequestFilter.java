package org.banyanhook.daemon.caller;

import java.util.concurrent.CompletableFuture;
import org.banyanhook.core.error.RefusalException;

/** One step in the handling of callers' requests. Safe for use by several threads; never blocks. */
@FunctionalInterface
public interface RequestFilter {
    /**
     * Handles a request, refuses it, or passes it on.
     *
     * @param exchange the request
     * @param next the steps after this one
     * @return the reply; failed with a {@link RefusalException} if a later step refuses
     * @throws RefusalException if this step refuses
     */
    CompletableFuture<CallerReply> handle(CallerExchange exchange, FilterChain next) throws RefusalException;
}
