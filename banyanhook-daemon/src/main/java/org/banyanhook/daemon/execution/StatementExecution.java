package org.banyanhook.daemon.execution;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.banyanhook.core.configuration.Database;
import org.banyanhook.core.error.Execution;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;
import org.banyanhook.core.retry.AttemptOutcome;
import org.banyanhook.core.retry.RetryDecision;
import org.banyanhook.core.retry.RetryPolicy;
import org.banyanhook.daemon.backend.BackendException;
import org.banyanhook.daemon.backend.BackendRequest;
import org.banyanhook.daemon.backend.BackendResponse;
import org.banyanhook.daemon.backend.LeasedConnection;

/** Executes one statement, with retries. Its callbacks run one after another, never concurrently. */
final class StatementExecution {

    private static final Logger LOGGER = LogManager.getLogger(StatementExecution.class);
    private static final long INITIAL_BACKOFF_MILLIS = 10;
    private static final int MAXIMUM_BACKOFF_DOUBLINGS = 4;
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    private static final long MINIMUM_ATTEMPT_NANOS = Duration.ofMillis(100).toNanos();

    private final LocalStatementExecutor executor;
    private final StatementCommand command;
    private final Database database;
    private final CompletableFuture<StatementOutcome> result = new CompletableFuture<>();
    private volatile boolean maybeSent;
    private volatile boolean replicaAllowed = true;
    private volatile boolean requireNewConnection;
    private volatile int delayedAttempts;
    private volatile RefusalKind lastRefusalKind = RefusalKind.DEADLINE_EXCEEDED;
    private volatile String lastRefusalDetail = "The deadline passed before the statement was sent.";

    StatementExecution(LocalStatementExecutor executor, StatementCommand command, Database database) {
        this.executor = executor;
        this.command = command;
        this.database = database;
    }

    CompletableFuture<StatementOutcome> start() {
        attempt();
        return result;
    }

    private void attempt() {
        if (isRemainingTimeTooShort()) {
            refuse(lastRefusalKind, lastRefusalDetail);
            return;
        }
        Optional<MemberChoice> choice =
                executor.chooser().choose(database, command.route(), command.sessionPosition(), replicaAllowed);
        if (choice.isEmpty()) {
            lastRefusalKind = RefusalKind.PRIMARY_UNAVAILABLE;
            lastRefusalDetail = "No primary of database " + database.name() + " is known.";
            attemptAfterBackoff();
            return;
        }
        logChoice(choice.get());
        executor.pool()
                .lease(executor.leaseRequest(command, choice.get(), requireNewConnection))
                .whenComplete((connection, failure) -> {
                    if (failure == null) {
                        send(choice.get(), connection);
                    } else {
                        onFailure(choice.get(), failure);
                    }
                });
    }

    private void send(MemberChoice choice, LeasedConnection connection) {
        if (isRemainingTimeTooShort()) {
            connection.release();
            refuse(lastRefusalKind, lastRefusalDetail);
            return;
        }
        BackendRequest.IdempotencyKey idempotency = command.idempotencyKey()
                .filter(key -> isWrite())
                .map(key -> new BackendRequest.IdempotencyKey(command.account(), key))
                .orElse(null);
        BackendRequest request = BackendRequest.statement(choice.term(), command.statement(), isWrite(), idempotency);
        connection.send(request, attemptTimeout()).whenComplete((answer, failure) -> {
            connection.release();
            if (failure == null) {
                confirm(choice, answer);
            } else {
                onFailure(choice, failure);
            }
        });
    }

    private void confirm(MemberChoice choice, BackendResponse answer) {
        maybeSent = true;
        executor.directory()
                .reportRequestOutcome(database.name(), choice.member().name(), true, answer.term());
        if (!isWrite() && !answer.position().covers(command.sessionPosition())) {
            retryAtPrimary(choice, RefusalKind.PRIMARY_CHANGED, "the answer does not cover the session position");
            return;
        }
        executor.confirmer()
                .confirm(database.name(), answer.position(), Duration.ofNanos(Math.max(0, remainingNanos())))
                .whenComplete((confirmed, failure) -> {
                    if (failure == null) {
                        deliver(choice, answer);
                    } else {
                        onConfirmationFailure(choice, failure);
                    }
                });
    }

    private void deliver(MemberChoice choice, BackendResponse answer) {
        long ageMillis = 0;
        if (choice.replica()) {
            ageMillis = executor.directory().ageBoundMillis(database.name(), answer.position());
            if (ageMillis > command.route().maximumAgeMillis()) {
                retryAtPrimary(choice, RefusalKind.REPLICATION_LAGGING, "the data is older than the route allows");
                return;
            }
        }
        if (!isWrite()) {
            executor.countRead(database.name(), choice.replica());
        }
        result.complete(new StatementOutcome(
                answer.resultJson(),
                answer.position(),
                choice.member().name(),
                choice.replica(),
                answer.replayed(),
                ageMillis));
    }

    private void onConfirmationFailure(MemberChoice choice, Throwable failure) {
        RefusalException cause = Refusals.from(failure);
        if (isWrite()) {
            refuse(
                    RefusalKind.OUTCOME_UNKNOWN,
                    "The write was sent, but its log position was not confirmed: " + cause.detail());
        } else {
            retryAtPrimary(choice, cause.kind(), "the log position of the answer was not confirmed: " + cause.detail());
        }
    }

    private void retryAtPrimary(MemberChoice choice, RefusalKind kind, String reason) {
        lastRefusalKind = kind;
        lastRefusalDetail = "The answer of " + choice.member().name() + " was discarded: " + reason + ".";
        LOGGER.info(
                "request {} account {} database {} discards the answer of member {}: {}",
                command.requestId(),
                command.account(),
                database.name(),
                choice.member().name(),
                reason);
        replicaAllowed = false;
        attemptAfterBackoff();
    }

    private void onFailure(MemberChoice choice, Throwable failure) {
        Throwable cause = Refusals.unwrap(failure);
        if (!(cause instanceof BackendException backendFailure)) {
            onRefusal(Refusals.from(cause));
            return;
        }
        AttemptOutcome outcome = AttemptOutcomes.of(backendFailure);
        boolean reachable = backendFailure.kind() == BackendException.Kind.REFUSED;
        executor.directory()
                .reportRequestOutcome(
                        database.name(), choice.member().name(), reachable, backendFailure.observedTerm());
        RetryDecision decision = RetryPolicy.decideAfterFailure(
                command.route().kind(),
                command.idempotencyKey().isPresent(),
                maybeSent,
                outcome,
                () -> executor.tryAcquireRetry(command.account()));
        maybeSent = decision.execution() == Execution.UNKNOWN;
        lastRefusalKind = AttemptOutcomes.refusalKind(outcome);
        lastRefusalDetail = choice.member().name() + ": " + backendFailure.getMessage() + ".";
        logFailure(choice, decision, backendFailure);
        applyDecision(decision, choice);
    }

    private void applyDecision(RetryDecision decision, MemberChoice choice) {
        switch (decision.action()) {
            case RETRY -> attemptAfterBackoff();
            case RETRY_ELSEWHERE -> {
                requireNewConnection = true;
                replicaAllowed = !choice.replica();
                attempt();
            }
            default -> refuse(lastRefusalKind, lastRefusalDetail);
        }
    }

    private void attemptAfterBackoff() {
        long backoffMillis = INITIAL_BACKOFF_MILLIS << Math.min(delayedAttempts, MAXIMUM_BACKOFF_DOUBLINGS);
        delayedAttempts++;
        long delayNanos = Math.min(TimeUnit.MILLISECONDS.toNanos(backoffMillis), Math.max(0, remainingNanos()));
        CompletableFuture.delayedExecutor(delayNanos, TimeUnit.NANOSECONDS).execute(this::attempt);
    }

    private void refuse(RefusalKind kind, String detail) {
        Execution execution = maybeSent ? Execution.UNKNOWN : Execution.NOT_RUN;
        RefusalKind reportedKind = maybeSent && isWrite() ? RefusalKind.OUTCOME_UNKNOWN : kind;
        RefusalException.Builder refusal =
                RefusalException.builder(reportedKind).execution(execution).detail(detail);
        if (reportedKind != RefusalKind.STATEMENT_REJECTED && reportedKind != RefusalKind.IDEMPOTENCY_KEY_REUSED) {
            refusal.retryAfter(RETRY_AFTER);
        }
        result.completeExceptionally(refusal.build());
    }

    /**
     * Handles a failure that did not come from the backend server, such as a refusal to lease a connection. At the
     * deadline, reports the failure of the previous attempt instead, since that is more specific.
     */
    private void onRefusal(RefusalException refusal) {
        if (refusal.kind() == RefusalKind.DEADLINE_EXCEEDED) {
            refuse(lastRefusalKind, lastRefusalDetail);
        } else if (maybeSent) {
            refuse(refusal.kind(), refusal.detail());
        } else {
            result.completeExceptionally(refusal);
        }
    }

    /** Returns the timeout of an attempt, which leaves time for another one if the statement may be sent again. */
    private Duration attemptTimeout() {
        boolean isLastAttempt = isWrite() && command.idempotencyKey().isEmpty();
        long nanos = isLastAttempt ? remainingNanos() : Math.max(remainingNanos() / 2, MINIMUM_ATTEMPT_NANOS);
        return Duration.ofNanos(Math.max(1, Math.min(nanos, remainingNanos())));
    }

    /**
     * Returns whether too little time remains for an attempt. A retry that cannot be answered in time would only change
     * a statement that certainly did not run into one with an unknown outcome.
     */
    private boolean isRemainingTimeTooShort() {
        return remainingNanos() <= (delayedAttempts == 0 ? 0 : MINIMUM_ATTEMPT_NANOS);
    }

    private long remainingNanos() {
        return command.deadlineNanos() - System.nanoTime();
    }

    private boolean isWrite() {
        return command.route().kind().writes();
    }

    private void logChoice(MemberChoice choice) {
        LOGGER.info(
                "request {} account {} database {} goes to member {} in term {}: {}",
                command.requestId(),
                command.account(),
                database.name(),
                choice.member().name(),
                choice.term(),
                choice.reason());
    }

    private void logFailure(MemberChoice choice, RetryDecision decision, BackendException failure) {
        LOGGER.warn(
                "request {} account {} database {} failed at member {} ({}): {} because {}",
                command.requestId(),
                command.account(),
                database.name(),
                choice.member().name(),
                failure.getMessage(),
                decision.action(),
                decision.reason());
    }
}
