package org.banyanhook.daemon.caller;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.banyanhook.core.configuration.Service;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;
import org.banyanhook.core.session.SessionToken;
import org.banyanhook.core.transaction.TransactionId;
import org.banyanhook.core.transaction.TransactionStep;
import org.banyanhook.daemon.execution.TransactionCommand;
import org.banyanhook.daemon.execution.TransactionExecutor;
import org.banyanhook.daemon.execution.TransactionOutcome;

/** Executes the steps of transactions; passes other requests on. */
final class TransactionFilter implements RequestFilter {

    private final TransactionExecutor executor;
    private final SessionFilter sessions;

    TransactionFilter(TransactionExecutor executor, SessionFilter sessions) {
        this.executor = requireNonNull(executor, "executor");
        this.sessions = requireNonNull(sessions, "sessions");
    }

    @Override
    public CompletableFuture<CallerReply> handle(CallerExchange exchange, FilterChain next) throws RefusalException {
        return switch (exchange.operation()) {
            case BEGIN -> execute(exchange, newBeginCommand(exchange));
            case TRANSACTION_STATEMENT -> execute(exchange, newStepCommand(exchange, TransactionStep.STATEMENT));
            case COMMIT -> execute(exchange, newStepCommand(exchange, TransactionStep.COMMIT));
            case ROLLBACK -> execute(exchange, newStepCommand(exchange, TransactionStep.ROLLBACK));
            default -> next.proceed(exchange);
        };
    }

    private CompletableFuture<CallerReply> execute(CallerExchange exchange, TransactionCommand command) {
        return executor.execute(command).thenApply(outcome -> reply(exchange, command, outcome));
    }

    private static TransactionCommand newBeginCommand(CallerExchange exchange) {
        return newCommandBuilder(exchange, TransactionStep.BEGIN)
                .database(exchange.database().name())
                .route(exchange.route()
                        .orElseThrow(() -> new IllegalStateException("the routing filter must run first")))
                .sessionPosition(exchange.session().position(exchange.database().name()))
                .build();
    }

    private static TransactionCommand newStepCommand(CallerExchange exchange, TransactionStep step)
            throws RefusalException {
        TransactionId id = TransactionId.decode(exchange.target().identifier());
        boolean belongsToService =
                exchange.service().flatMap(service -> databaseOf(service, id)).isPresent();
        if (!belongsToService) {
            throw RefusalException.notRun(
                    RefusalKind.TRANSACTION_UNKNOWN, "The transaction id in the path does not belong to this service.");
        }
        exchange.session().requireCapacityFor(id.database());
        String statement = exchange.body().statement();
        return newCommandBuilder(exchange, step)
                .transaction(id)
                .statement(statement == null ? "" : statement)
                .idempotencyKey(
                        step == TransactionStep.COMMIT ? exchange.headers().idempotencyKey() : null)
                .sessionPosition(exchange.session().position(id.database()))
                .build();
    }

    private static Optional<String> databaseOf(Service service, TransactionId id) {
        return service.database(id.database()).map(database -> database.name());
    }

    private static TransactionCommand.Builder newCommandBuilder(CallerExchange exchange, TransactionStep step) {
        return TransactionCommand.builder(step)
                .requestId(exchange.requestId())
                .account(exchange.effectiveAccount())
                .service(exchange.serviceName())
                .deadlineNanos(exchange.deadlineNanos());
    }

    private CallerReply reply(CallerExchange exchange, TransactionCommand command, TransactionOutcome outcome) {
        String database = outcome.transaction().database();
        SessionToken session =
                exchange.session().with(database, outcome.outcome().position());
        try {
            String token = sessions.encode(exchange, session);
            return switch (command.step()) {
                case BEGIN ->
                    CallerReplyFactory.ok(
                            JsonNodeFactory.instance
                                    .objectNode()
                                    .put("transactionId", outcome.transaction().encode())
                                    .put("database", database),
                            token);
                case ROLLBACK ->
                    CallerReplyFactory.ok(JsonNodeFactory.instance.objectNode().put("rolledBack", true), token);
                default -> CallerReplyFactory.result(outcome.outcome(), database, token);
            };
        } catch (RefusalException refusal) {
            throw new CompletionException(refusal);
        }
    }
}
