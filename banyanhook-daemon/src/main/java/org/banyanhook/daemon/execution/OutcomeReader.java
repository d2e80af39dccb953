package org.banyanhook.daemon.execution;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.banyanhook.core.configuration.Database;
import org.banyanhook.core.configuration.Route;
import org.banyanhook.core.configuration.RouteKind;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;
import org.banyanhook.core.replication.LogPosition;
import org.banyanhook.daemon.backend.BackendRequest;
import org.banyanhook.daemon.backend.BackendResponse;
import org.banyanhook.daemon.backend.LeaseRequest;
import org.banyanhook.daemon.backend.LeasedConnection;

/**
 * Reads the outcomes that the database recorded under idempotency keys.
 *
 * <p>Every entry VM can read outcomes, over at most one connection to the primary, so that they are available while
 * homes change. Safe for use by several threads.
 */
public final class OutcomeReader {

    private static final int MAXIMUM_CONNECTIONS = 1;
    private static final Route OUTCOME_ROUTE = new Route("outcome", RouteKind.READ, false, 0);

    private final LocalStatementExecutor statementExecutor;

    /**
     * Creates a reader.
     *
     * @param statementExecutor supplies members, connections and confirmations
     */
    public OutcomeReader(LocalStatementExecutor statementExecutor) {
        this.statementExecutor = requireNonNull(statementExecutor, "statementExecutor");
    }

    /**
     * Identifies the outcome to read.
     *
     * @param database the name of the database
     * @param account the name of the client account
     * @param key the idempotency key
     * @param sessionPosition the log position that the answer must cover
     * @param deadlineNanos when the caller stops waiting, by {@link System#nanoTime}
     */
    public record Query(String database, String account, String key, LogPosition sessionPosition, long deadlineNanos) {
        Duration remaining() {
            return Duration.ofNanos(Math.max(0, deadlineNanos - System.nanoTime()));
        }
    }

    /**
     * Reads an outcome.
     *
     * @param query identifies the outcome
     * @return the outcome, or empty if the database has recorded none under the key; failed with a
     *     {@link RefusalException}
     */
    public CompletableFuture<Optional<StatementOutcome>> read(Query query) {
        try {
            Database database = statementExecutor.chooser().database(query.database());
            MemberChoice choice = statementExecutor
                    .chooser()
                    .choose(database, OUTCOME_ROUTE, query.sessionPosition(), false)
                    .orElseThrow(() -> unavailable(RefusalKind.PRIMARY_UNAVAILABLE, "No primary is known."));
            LeaseRequest request = new LeaseRequest(
                    database.name(),
                    choice.member(),
                    MAXIMUM_CONNECTIONS,
                    query.account(),
                    1,
                    query.deadlineNanos(),
                    true);
            return statementExecutor
                    .pool()
                    .lease(request)
                    .thenCompose(connection -> sendQuery(query, choice, connection))
                    .exceptionallyCompose(failure -> CompletableFuture.failedFuture(refusal(failure)));
        } catch (RefusalException refusal) {
            return CompletableFuture.failedFuture(refusal);
        }
    }

    private CompletableFuture<Optional<StatementOutcome>> sendQuery(
            Query query, MemberChoice choice, LeasedConnection connection) {
        BackendRequest request =
                BackendRequest.outcome(choice.term(), new BackendRequest.IdempotencyKey(query.account(), query.key()));
        return connection
                .send(request, query.remaining())
                .whenComplete((answer, failure) -> connection.release())
                .thenCompose(answer -> confirm(query, choice, answer));
    }

    private CompletableFuture<Optional<StatementOutcome>> confirm(
            Query query, MemberChoice choice, BackendResponse answer) {
        if (!answer.position().covers(query.sessionPosition())) {
            return CompletableFuture.failedFuture(
                    unavailable(RefusalKind.PRIMARY_CHANGED, "The answer does not cover the session position."));
        }
        return statementExecutor
                .confirmer()
                .confirm(query.database(), answer.position(), query.remaining())
                .thenApply(confirmed -> answer.found() ? Optional.of(outcome(choice, answer)) : Optional.empty());
    }

    private static StatementOutcome outcome(MemberChoice choice, BackendResponse answer) {
        return new StatementOutcome(
                answer.resultJson(), answer.position(), choice.member().name(), false, true, 0);
    }

    private static RefusalException refusal(Throwable failure) {
        Throwable cause = Refusals.unwrap(failure);
        return cause instanceof RefusalException refusal
                ? refusal
                : unavailable(RefusalKind.BACKEND_UNAVAILABLE, "The request to the primary failed.");
    }

    private static RefusalException unavailable(RefusalKind kind, String detail) {
        return RefusalException.builder(kind)
                .detail(detail)
                .retryAfter(Duration.ofSeconds(1))
                .build();
    }
}
