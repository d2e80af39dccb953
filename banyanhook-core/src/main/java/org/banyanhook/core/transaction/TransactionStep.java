package org.banyanhook.core.transaction;

/** What is asked of a transaction. */
public enum TransactionStep {
    BEGIN,
    STATEMENT,
    COMMIT,
    ROLLBACK
}
