package org.banyanhook.core.transaction;

import java.util.Optional;
import org.banyanhook.core.error.Execution;
import org.banyanhook.core.error.RefusalKind;
import org.jspecify.annotations.Nullable;

/** Whether a step of a transaction may run now. */
public enum StepDecision {
    /** The step may run; the transaction is busy until the step ends. */
    RUN(null, Execution.NOT_RUN),
    /** Another step of the transaction is running. */
    BUSY(RefusalKind.TRANSACTION_BUSY, Execution.NOT_RUN),
    /** This home never held the transaction, or it belongs to another client account. */
    UNKNOWN(RefusalKind.TRANSACTION_UNKNOWN, Execution.NOT_RUN),
    /** The transaction ended, and no commit was sent. */
    ROLLED_BACK(RefusalKind.TRANSACTION_LOST, Execution.NOT_RUN),
    /** A commit was sent, or may have been sent by a home that is gone. */
    COMMIT_MAYBE_SENT(RefusalKind.OUTCOME_UNKNOWN, Execution.UNKNOWN);

    private final @Nullable RefusalKind refusal;
    private final Execution execution;

    StepDecision(@Nullable RefusalKind refusal, Execution execution) {
        this.refusal = refusal;
        this.execution = execution;
    }

    /** Returns the kind of refusal, or empty if the step may run. */
    public Optional<RefusalKind> refusal() {
        return Optional.ofNullable(refusal);
    }

    /** Returns what is known about the execution of a refused step. */
    public Execution execution() {
        return execution;
    }
}
