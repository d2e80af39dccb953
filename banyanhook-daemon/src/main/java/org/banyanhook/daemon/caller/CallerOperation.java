package org.banyanhook.daemon.caller;

/** The operations that a caller can request. */
public enum CallerOperation {
    STATEMENT,
    BEGIN,
    TRANSACTION_STATEMENT,
    COMMIT,
    ROLLBACK,
    OUTCOME;

    /** Returns whether the operation continues a transaction that was begun by an earlier request. */
    public boolean continuesTransaction() {
        return this == TRANSACTION_STATEMENT || this == COMMIT || this == ROLLBACK;
    }
}
