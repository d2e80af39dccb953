package org.banyanhook.daemon.execution;

import java.util.concurrent.CompletableFuture;

/** Executes the steps of transactions. Safe for use by several threads; never blocks. */
@FunctionalInterface
public interface TransactionExecutor {
    /**
     * Executes one step.
     *
     * @param command the step
     * @return its outcome; failed with a {@link org.banyanhook.core.error.RefusalException}
     */
    CompletableFuture<TransactionOutcome> execute(TransactionCommand command);
}
