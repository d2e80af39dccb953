package org.banyanhook.daemon.execution;

import java.util.concurrent.CompletableFuture;

/** Executes single statements. Safe for use by several threads; never blocks. */
@FunctionalInterface
public interface StatementExecutor {
    /**
     * Executes a statement.
     *
     * @param command the statement
     * @return its outcome; failed with a {@link org.banyanhook.core.error.RefusalException}
     */
    CompletableFuture<StatementOutcome> execute(StatementCommand command);
}
