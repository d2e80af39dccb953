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

/** The attempts to run one statement. Its steps follow one another; no two run at a time. */
final class StatementRun {

    private static final Logger LOGGER = LogManager.getLogger(StatementRun.class);
    private static final long FIRST_BACKOFF_MILLIS = 10;
    private static final int MAXIMUM_BACKOFF_DOUBLINGS = 4;
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    private static final long MINIMUM_ATTEMPT_NANOS = Duration.ofMillis(100).toNanos();

    private final LocalStatementExecutor executor;
    private final StatementCommand command;
    private final Database database;
    private final CompletableFuture<StatementOutcome> result = new CompletableFuture<>();
    private volatile boolean maybeSent;
    private volatile boolean replicaAllowed = true;
    private volatile boolean fresh;
    private volatile int attempts;
    private volatile RefusalKind lastKind = RefusalKind.DEADLINE_EXCEEDED;
    private volatile String lastDetail = "The deadline passed before the statement was sent.";

    StatementRun(LocalStatementExecutor executor, StatementCommand command, Database database) {
        this.executor = executor;
        this.command = command;
        this.database = database;
    }

    CompletableFuture<StatementOutcome> start() {
        attempt();
        return result;
    }

    private void attempt() {
        if (isTooLate()) {
            refuse(lastKind, lastDetail);
            return;
        }
        Optional<MemberChoice> choice =
                executor.chooser().choose(database, command.route(), command.sessionPosition(), replicaAllowed);
        if (choice.isEmpty()) {
            lastKind = RefusalKind.PRIMARY_UNAVAILABLE;
            lastDetail = "No primary of database " + database.name() + " is known.";
            attemptLater();
            return;
        }
        logChoice(choice.get());
        executor.pool()
                .lease(executor.leaseRequest(command, choice.get(), fresh))
                .whenComplete((connection, failure) -> {
                    if (failure == null) {
                        send(choice.get(), connection);
                    } else {
                        fail(choice.get(), failure);
                    }
                });
    }

    private void send(MemberChoice choice, LeasedConnection connection) {
        if (isTooLate()) {
            connection.release();
            refuse(lastKind, lastDetail);
            return;
        }
        BackendRequest.IdempotencyKey idempotency = command.idempotencyKey()
                .filter(key -> writes())
                .map(key -> new BackendRequest.IdempotencyKey(command.account(), key))
                .orElse(null);
        BackendRequest request = BackendRequest.statement(choice.term(), command.statement(), writes(), idempotency);
        connection.send(request, attemptTimeout()).whenComplete((answer, failure) -> {
            connection.release();
            if (failure == null) {
                confirm(choice, answer);
            } else {
                fail(choice, failure);
            }
        });
    }

    private void confirm(MemberChoice choice, BackendResponse answer) {
        maybeSent = true;
        executor.directory().reportOutcome(database.name(), choice.member().name(), true, answer.term());
        if (!writes() && !answer.position().covers(command.sessionPosition())) {
            goElsewhere(choice, RefusalKind.PRIMARY_CHANGED, "the answer does not cover the session");
            return;
        }
        executor.confirmer()
                .confirm(database.name(), answer.position(), Duration.ofNanos(Math.max(0, remainingNanos())))
                .whenComplete((confirmed, failure) -> {
                    if (failure == null) {
                        deliver(choice, answer);
                    } else {
                        failUnconfirmed(choice, failure);
                    }
                });
    }

    private void deliver(MemberChoice choice, BackendResponse answer) {
        long ageMillis = 0;
        if (choice.replica()) {
            ageMillis = executor.directory().ageBoundMillis(database.name(), answer.position());
            if (ageMillis > command.route().maximumAgeMillis()) {
                goElsewhere(choice, RefusalKind.REPLICATION_LAGGING, "the answer is older than the route allows");
                return;
            }
        }
        if (!writes()) {
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

    private void failUnconfirmed(MemberChoice choice, Throwable failure) {
        RefusalException cause = Refusals.from(failure);
        if (writes()) {
            refuse(RefusalKind.OUTCOME_UNKNOWN, "The write was sent but not confirmed: " + cause.detail());
        } else {
            goElsewhere(choice, cause.kind(), "the position of the answer was not confirmed: " + cause.detail());
        }
    }

    private void goElsewhere(MemberChoice choice, RefusalKind kind, String reason) {
        lastKind = kind;
        lastDetail = "The read from " + choice.member().name() + " was not used: " + reason + ".";
        LOGGER.info(
                "request {} account {} database {} leaves member {}: {}",
                command.requestId(),
                command.account(),
                database.name(),
                choice.member().name(),
                reason);
        replicaAllowed = false;
        attemptLater();
    }

    private void fail(MemberChoice choice, Throwable failure) {
        Throwable cause = Refusals.unwrap(failure);
        if (!(cause instanceof BackendException backendFailure)) {
            failRefused(Refusals.from(cause));
            return;
        }
        AttemptOutcome outcome = BackendOutcomes.of(backendFailure);
        boolean reachable = backendFailure.kind() == BackendException.Kind.REFUSED;
        executor.directory()
                .reportOutcome(database.name(), choice.member().name(), reachable, backendFailure.observedTerm());
        RetryDecision decision = RetryPolicy.afterFailure(
                command.route().kind(),
                command.idempotencyKey().isPresent(),
                maybeSent,
                outcome,
                () -> executor.tryRetry(command.account()));
        maybeSent = decision.execution() == Execution.UNKNOWN;
        lastKind = BackendOutcomes.refusalKind(outcome);
        lastDetail = choice.member().name() + ": " + backendFailure.getMessage() + ".";
        logFailure(choice, decision, backendFailure);
        act(decision, choice);
    }

    private void act(RetryDecision decision, MemberChoice choice) {
        switch (decision.action()) {
            case RETRY -> attemptLater();
            case RETRY_ELSEWHERE -> {
                fresh = true;
                replicaAllowed = !choice.replica();
                attempt();
            }
            default -> refuse(lastKind, lastDetail);
        }
    }

    private void attemptLater() {
        long backoffMillis = FIRST_BACKOFF_MILLIS << Math.min(attempts, MAXIMUM_BACKOFF_DOUBLINGS);
        attempts++;
        long delayNanos = Math.min(TimeUnit.MILLISECONDS.toNanos(backoffMillis), Math.max(0, remainingNanos()));
        CompletableFuture.delayedExecutor(delayNanos, TimeUnit.NANOSECONDS).execute(this::attempt);
    }

    private void refuse(RefusalKind kind, String detail) {
        Execution execution = maybeSent ? Execution.UNKNOWN : Execution.NOT_RUN;
        RefusalKind shown = maybeSent && writes() ? RefusalKind.OUTCOME_UNKNOWN : kind;
        RefusalException.Builder refusal =
                RefusalException.builder(shown).execution(execution).detail(detail);
        if (shown != RefusalKind.STATEMENT_REJECTED && shown != RefusalKind.IDEMPOTENCY_KEY_REUSED) {
            refusal.retryAfter(RETRY_AFTER);
        }
        result.completeExceptionally(refusal.build());
    }

    /** Passes on why no connection was had; at the deadline the failure of an earlier attempt says more. */
    private void failRefused(RefusalException refusal) {
        if (refusal.kind() == RefusalKind.DEADLINE_EXCEEDED) {
            refuse(lastKind, lastDetail);
        } else if (maybeSent) {
            refuse(refusal.kind(), refusal.detail());
        } else {
            result.completeExceptionally(refusal);
        }
    }

    /** Leaves time for another attempt where one is allowed. */
    private Duration attemptTimeout() {
        boolean last = writes() && command.idempotencyKey().isEmpty();
        long nanos = last ? remainingNanos() : Math.max(remainingNanos() / 2, MINIMUM_ATTEMPT_NANOS);
        return Duration.ofNanos(Math.max(1, Math.min(nanos, remainingNanos())));
    }

    /** A retry without the time for an answer would only turn what provably did not run into an unknown outcome. */
    private boolean isTooLate() {
        return remainingNanos() <= (attempts == 0 ? 0 : MINIMUM_ATTEMPT_NANOS);
    }

    private long remainingNanos() {
        return command.deadlineNanos() - System.nanoTime();
    }

    private boolean writes() {
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
