package org.banyanhook.daemon.execution;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.banyanhook.core.configuration.Database;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;
import org.banyanhook.core.retry.AttemptOutcome;
import org.banyanhook.daemon.backend.BackendException;
import org.banyanhook.daemon.backend.BackendRequest;
import org.banyanhook.daemon.backend.LeasedConnection;

/**
 * Begins one transaction at the primary, with retries.
 *
 * <p>A begin changes no data, and the connection of a failed begin is closed, which ends any transaction that began on
 * it. So a begin can be retried after any failure of the backend server. The callbacks run one after another, never
 * concurrently.
 */
final class TransactionBegin {

    private static final Logger LOGGER = LogManager.getLogger(TransactionBegin.class);
    private static final long BACKOFF_MILLIS = 50;
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final LocalStatementExecutor statementExecutor;
    private final TransactionCommand command;
    private final Database database;
    private final CompletableFuture<OpenTransaction> result = new CompletableFuture<>();
    private volatile RefusalKind lastRefusalKind = RefusalKind.PRIMARY_UNAVAILABLE;

    TransactionBegin(LocalStatementExecutor statementExecutor, TransactionCommand command, Database database) {
        this.statementExecutor = statementExecutor;
        this.command = command;
        this.database = database;
    }

    CompletableFuture<OpenTransaction> start() {
        attempt();
        return result;
    }

    private void attempt() {
        if (remaining().isZero()) {
            refuse();
            return;
        }
        Optional<MemberChoice> choice =
                statementExecutor.chooser().choose(database, command.beginRoute(), command.sessionPosition(), false);
        if (choice.isEmpty()) {
            attemptAfterBackoff();
            return;
        }
        statementExecutor
                .pool()
                .lease(statementExecutor.leaseRequest(
                        database, choice.get().member(), command.account(), command.deadlineNanos(), false))
                .whenComplete((connection, failure) -> {
                    if (failure == null) {
                        sendBegin(choice.get(), connection);
                    } else {
                        onFailure(choice.get(), Refusals.unwrap(failure));
                    }
                });
    }

    private void sendBegin(MemberChoice choice, LeasedConnection connection) {
        LOGGER.info(
                "request {} account {} database {} begins a transaction at member {} in term {}: {}",
                command.requestId(),
                command.account(),
                database.name(),
                choice.member().name(),
                choice.term(),
                choice.reason());
        Duration timeout = remaining();
        connection.send(BackendRequest.begin(choice.term()), timeout).whenComplete((answer, failure) -> {
            if (failure == null) {
                boolean writes = command.beginRoute().kind().writes();
                result.complete(new OpenTransaction(connection, choice, writes));
            } else {
                connection.discard();
                onFailure(choice, Refusals.unwrap(failure));
            }
        });
    }

    private void onFailure(MemberChoice choice, Throwable failure) {
        if (!(failure instanceof BackendException backendFailure)) {
            result.completeExceptionally(Refusals.from(failure));
            return;
        }
        AttemptOutcome outcome = AttemptOutcomes.of(backendFailure);
        lastRefusalKind = outcome == AttemptOutcome.PRIMARY_CHANGED
                ? RefusalKind.PRIMARY_CHANGED
                : RefusalKind.BACKEND_UNAVAILABLE;
        boolean reachable = backendFailure.kind() == BackendException.Kind.REFUSED;
        statementExecutor
                .directory()
                .reportRequestOutcome(
                        database.name(), choice.member().name(), reachable, backendFailure.observedTerm());
        attemptAfterBackoff();
    }

    private void attemptAfterBackoff() {
        long nanos = Math.min(
                TimeUnit.MILLISECONDS.toNanos(BACKOFF_MILLIS), remaining().toNanos());
        CompletableFuture.delayedExecutor(nanos, TimeUnit.NANOSECONDS).execute(this::attempt);
    }

    private void refuse() {
        result.completeExceptionally(RefusalException.builder(lastRefusalKind)
                .detail("No transaction could be started on database " + database.name() + " before the deadline.")
                .retryAfter(RETRY_AFTER)
                .build());
    }

    private Duration remaining() {
        return Duration.ofNanos(Math.max(0, command.deadlineNanos() - System.nanoTime()));
    }
}
