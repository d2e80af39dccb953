package org.banyanhook.core.transaction;

/** The kinds of requests that a transaction consists of. */
public enum TransactionStep {
    BEGIN,
    STATEMENT,
    COMMIT,
    ROLLBACK
}
