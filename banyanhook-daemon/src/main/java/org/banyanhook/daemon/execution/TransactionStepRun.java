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
 * One step of an open transaction, sent once on the transaction's own connection.
 *
 * <p>Whatever fails before a commit is sent ends the transaction: its connection is closed, so the database rolls it
 * back, and the refusal says truly that it did not run. A statement that the database rejects leaves it open.
 */
final class TransactionStepRun {

    private static final String NO_RESULT = "null";

    /** What becomes of the transaction after the step. */
    enum Ending {
        CONTINUES,
        ROLLED_BACK,
        COMMIT_SENT
    }

    private final LocalStatementExecutor statements;
    private final TransactionCommand command;
    private final OpenTransaction transaction;
    private final CompletableFuture<StatementOutcome> result = new CompletableFuture<>();
    private volatile Ending ending = Ending.CONTINUES;

    TransactionStepRun(LocalStatementExecutor statements, TransactionCommand command, OpenTransaction transaction) {
        this.statements = statements;
        this.command = command;
        this.transaction = transaction;
    }

    static StatementOutcome emptyOutcome(TransactionCommand command, OpenTransaction transaction) {
        String member = transaction.choice().member().name();
        return new StatementOutcome(NO_RESULT, command.sessionPosition(), member, false, false, 0);
    }

    /** Returns what becomes of the transaction, once the result of {@link #start} is complete. */
    Ending ending() {
        return ending;
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
                succeed(answer);
            } else {
                fail(Refusals.unwrap(failure));
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

    private void succeed(BackendResponse answer) {
        if (command.step() == TransactionStep.ROLLBACK) {
            ending = Ending.ROLLED_BACK;
            result.complete(emptyOutcome(command, transaction));
            return;
        }
        ending = command.step() == TransactionStep.COMMIT ? Ending.COMMIT_SENT : Ending.CONTINUES;
        String database = transaction.choice().database().name();
        statements.confirmer().confirm(database, answer.position(), remaining()).whenComplete((confirmed, failure) -> {
            if (failure == null) {
                result.complete(outcome(answer));
            } else {
                failUnconfirmed(Refusals.from(failure));
            }
        });
    }

    private StatementOutcome outcome(BackendResponse answer) {
        LogPosition position = answer.position();
        String member = transaction.choice().member().name();
        return new StatementOutcome(answer.resultJson(), position, member, false, answer.replayed(), 0);
    }

    private void failUnconfirmed(RefusalException cause) {
        if (command.step() == TransactionStep.COMMIT) {
            refuseUnknown("The commit was sent but not confirmed: " + cause.detail());
        } else {
            lose("What the statement read was not confirmed: " + cause.detail());
        }
    }

    private void fail(Throwable failure) {
        if (!(failure instanceof BackendException backendFailure)) {
            ending = Ending.COMMIT_SENT;
            transaction.connection().discard();
            result.completeExceptionally(Refusals.from(failure));
            return;
        }
        boolean refused = backendFailure.kind() == BackendException.Kind.REFUSED;
        report(backendFailure, refused);
        boolean rejected = refused && backendFailure.errorCode().equals(BackendErrorCodes.STATEMENT_REJECTED);
        if (rejected && command.step() == TransactionStep.STATEMENT) {
            result.completeExceptionally(RefusalException.notRun(
                    RefusalKind.STATEMENT_REJECTED, String.valueOf(backendFailure.getMessage())));
        } else if (refused && backendFailure.errorCode().equals(BackendErrorCodes.IDEMPOTENCY_KEY_REUSED)) {
            transaction.connection().discard();
            result.completeExceptionally(RefusalException.notRun(
                    RefusalKind.IDEMPOTENCY_KEY_REUSED, String.valueOf(backendFailure.getMessage())));
        } else if (command.step() == TransactionStep.COMMIT
                && backendFailure.kind() == BackendException.Kind.MAYBE_SENT) {
            transaction.connection().discard();
            refuseUnknown("The commit was sent and got no answer.");
        } else {
            lose("The database did not take the step: " + backendFailure.getMessage());
        }
    }

    private void refuseUnknown(String detail) {
        ending = Ending.COMMIT_SENT;
        result.completeExceptionally(RefusalException.builder(RefusalKind.OUTCOME_UNKNOWN)
                .execution(Execution.UNKNOWN)
                .detail(detail)
                .build());
    }

    private void lose(String detail) {
        ending = Ending.ROLLED_BACK;
        transaction.connection().discard();
        result.completeExceptionally(RefusalException.notRun(RefusalKind.TRANSACTION_LOST, detail));
    }

    private void report(BackendException failure, boolean reachable) {
        statements
                .directory()
                .reportOutcome(
                        transaction.choice().database().name(),
                        transaction.choice().member().name(),
                        reachable,
                        failure.observedTerm());
    }

    private Duration remaining() {
        return Duration.ofNanos(Math.max(0, command.deadlineNanos() - System.nanoTime()));
    }
}
