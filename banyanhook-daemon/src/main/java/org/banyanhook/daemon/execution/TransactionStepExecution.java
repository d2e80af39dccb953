package org.banyanhook.daemon.execution;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.banyanhook.core.error.Execution;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;
import org.banyanhook.core.replication.LogPosition;
import org.banyanhook.core.transaction.TransactionStep;
import org.banyanhook.daemon.backend.BackendErrorCodes;
import org.banyanhook.daemon.backend.BackendException;
import org.banyanhook.daemon.backend.BackendRequest;
import org.banyanhook.daemon.backend.BackendResponse;

/**
 * Executes one step of an open transaction. The step is sent once, on the transaction's own connection.
 *
 * <p>A failure of the backend server before a commit is sent ends the transaction: its connection is closed, so the
 * database rolls it back, and the refusal reports {@code NOT_RUN}. A statement that the database rejects leaves the
 * transaction open.
 */
final class TransactionStepExecution {

    private static final String NULL_RESULT_JSON = "null";

    /** The effect of the step on the transaction. */
    enum Effect {
        REMAINS_OPEN,
        ROLLED_BACK,
        COMMIT_MAYBE_SENT
    }

    private final LocalStatementExecutor statementExecutor;
    private final TransactionCommand command;
    private final OpenTransaction transaction;
    private final CompletableFuture<StatementOutcome> result = new CompletableFuture<>();
    private volatile Effect effect = Effect.REMAINS_OPEN;

    TransactionStepExecution(
            LocalStatementExecutor statementExecutor, TransactionCommand command, OpenTransaction transaction) {
        this.statementExecutor = statementExecutor;
        this.command = command;
        this.transaction = transaction;
    }

    static StatementOutcome emptyOutcome(TransactionCommand command, OpenTransaction transaction) {
        String member = transaction.choice().member().name();
        return new StatementOutcome(NULL_RESULT_JSON, command.sessionPosition(), member, false, false, 0);
    }

    /** Returns the effect on the transaction, valid once the result of {@link #start} is complete. */
    Effect effect() {
        return effect;
    }

    CompletableFuture<StatementOutcome> start() {
        Duration remaining = remaining();
        if (remaining.isZero()) {
            result.completeExceptionally(RefusalException.notRun(
                    RefusalKind.DEADLINE_EXCEEDED, "The deadline passed before the step was sent."));
            return result;
        }
        transaction.connection().send(request(), remaining).whenComplete((answer, failure) -> {
            if (failure == null) {
                onAnswer(answer);
            } else {
                onFailure(Refusals.unwrap(failure));
            }
        });
        return result;
    }

    private BackendRequest request() {
        return switch (command.step()) {
            case COMMIT ->
                BackendRequest.commit(
                        transaction.choice().term(),
                        command.idempotencyKey()
                                .map(key -> new BackendRequest.IdempotencyKey(command.account(), key))
                                .orElse(null));
            case ROLLBACK -> BackendRequest.rollback();
            default -> BackendRequest.transactionStatement(command.statement(), transaction.writes());
        };
    }

    private void onAnswer(BackendResponse answer) {
        if (command.step() == TransactionStep.ROLLBACK) {
            effect = Effect.ROLLED_BACK;
            result.complete(emptyOutcome(command, transaction));
            return;
        }
        effect = command.step() == TransactionStep.COMMIT ? Effect.COMMIT_MAYBE_SENT : Effect.REMAINS_OPEN;
        String database = transaction.choice().database().name();
        statementExecutor
                .confirmer()
                .confirm(database, answer.position(), remaining())
                .whenComplete((confirmed, failure) -> {
                    if (failure == null) {
                        result.complete(outcome(answer));
                    } else {
                        onConfirmationFailure(Refusals.from(failure));
                    }
                });
    }

    private StatementOutcome outcome(BackendResponse answer) {
        LogPosition position = answer.position();
        String member = transaction.choice().member().name();
        return new StatementOutcome(answer.resultJson(), position, member, false, answer.replayed(), 0);
    }

    private void onConfirmationFailure(RefusalException cause) {
        if (command.step() == TransactionStep.COMMIT) {
            refuseOutcomeUnknown("The commit was sent, but its log position was not confirmed: " + cause.detail());
        } else {
            refuseTransactionLost("The log position of the statement's answer was not confirmed: " + cause.detail());
        }
    }

    private void onFailure(Throwable failure) {
        if (!(failure instanceof BackendException backendFailure)) {
            effect = Effect.COMMIT_MAYBE_SENT;
            transaction.connection().discard();
            result.completeExceptionally(Refusals.from(failure));
            return;
        }
        boolean refused = backendFailure.kind() == BackendException.Kind.REFUSED;
        reportOutcome(backendFailure, refused);
        boolean rejected = refused && backendFailure.errorCode().equals(BackendErrorCodes.STATEMENT_REJECTED);
        if (rejected && command.step() == TransactionStep.STATEMENT) {
            result.completeExceptionally(RefusalException.notRun(
                    RefusalKind.STATEMENT_REJECTED, String.valueOf(backendFailure.getMessage())));
        } else if (refused && backendFailure.errorCode().equals(BackendErrorCodes.IDEMPOTENCY_KEY_REUSED)) {
            effect = Effect.ROLLED_BACK;
            transaction.connection().discard();
            result.completeExceptionally(RefusalException.notRun(
                    RefusalKind.IDEMPOTENCY_KEY_REUSED, String.valueOf(backendFailure.getMessage())));
        } else if (command.step() == TransactionStep.COMMIT
                && backendFailure.kind() == BackendException.Kind.MAYBE_SENT) {
            transaction.connection().discard();
            refuseOutcomeUnknown("The commit may have been sent, but no valid answer was received.");
        } else {
            refuseTransactionLost("The transaction step failed: " + backendFailure.getMessage());
        }
    }

    private void refuseOutcomeUnknown(String detail) {
        effect = Effect.COMMIT_MAYBE_SENT;
        result.completeExceptionally(RefusalException.builder(RefusalKind.OUTCOME_UNKNOWN)
                .execution(Execution.UNKNOWN)
                .detail(detail)
                .build());
    }

    private void refuseTransactionLost(String detail) {
        effect = Effect.ROLLED_BACK;
        transaction.connection().discard();
        result.completeExceptionally(RefusalException.notRun(RefusalKind.TRANSACTION_LOST, detail));
    }

    private void reportOutcome(BackendException failure, boolean reachable) {
        statementExecutor
                .directory()
                .reportRequestOutcome(
                        transaction.choice().database().name(),
                        transaction.choice().member().name(),
                        reachable,
                        failure.observedTerm());
    }

    private Duration remaining() {
        return Duration.ofNanos(Math.max(0, command.deadlineNanos() - System.nanoTime()));
    }
}
