package org.banyanhook.daemon.caller;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.banyanhook.core.configuration.Route;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.session.SessionToken;
import org.banyanhook.daemon.execution.StatementCommand;
import org.banyanhook.daemon.execution.StatementExecutor;
import org.banyanhook.daemon.execution.StatementOutcome;

/** Executes single statements; passes other requests on. */
final class StatementFilter implements RequestFilter {

    private final StatementExecutor executor;
    private final SessionFilter sessions;

    StatementFilter(StatementExecutor executor, SessionFilter sessions) {
        this.executor = requireNonNull(executor, "executor");
        this.sessions = requireNonNull(sessions, "sessions");
    }

    @Override
    public CompletableFuture<CallerReply> handle(CallerExchange exchange, FilterChain next) throws RefusalException {
        if (exchange.operation() != CallerOperation.STATEMENT) {
            return next.proceed(exchange);
        }
        return executor.execute(newCommand(exchange)).thenApply(outcome -> reply(exchange, outcome));
    }

    private static StatementCommand newCommand(CallerExchange exchange) {
        Route route =
                exchange.route().orElseThrow(() -> new IllegalStateException("the routing filter must run first"));
        String database = exchange.database().name();
        return StatementCommand.builder()
                .requestId(exchange.requestId())
                .account(exchange.effectiveAccount())
                .service(exchange.serviceName())
                .database(database)
                .route(route)
                .statement(requireNonNull(exchange.body().statement(), "statement"))
                .idempotencyKey(exchange.headers().idempotencyKey())
                .sessionPosition(exchange.session().position(database))
                .deadlineNanos(exchange.deadlineNanos())
                .build();
    }

    private CallerReply reply(CallerExchange exchange, StatementOutcome outcome) {
        String database = exchange.database().name();
        SessionToken session = exchange.session().with(database, outcome.position());
        try {
            return CallerReplyFactory.result(outcome, database, sessions.encode(exchange, session));
        } catch (RefusalException refusal) {
            throw new CompletionException(refusal);
        }
    }
}
