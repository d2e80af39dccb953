package org.banyanhook.daemon.caller;

import java.util.concurrent.CompletableFuture;
import org.banyanhook.core.error.RefusalException;

/** Records that a request passed all checks and is executed from here on, unless the service has ended. */
final class ExecutionStartFilter implements RequestFilter {

    @Override
    public CompletableFuture<CallerReply> handle(CallerExchange exchange, FilterChain next) throws RefusalException {
        boolean writes = exchange.route().map(route -> route.kind().writes()).orElse(false);
        exchange.outstandingRequest().startExecution(exchange.operation(), writes);
        return next.proceed(exchange);
    }
}
