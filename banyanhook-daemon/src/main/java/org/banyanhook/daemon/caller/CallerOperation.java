package org.banyanhook.daemon.caller;

/** What a caller asks for. */
public enum CallerOperation {
    STATEMENT,
    BEGIN,
    TRANSACTION_STATEMENT,
    COMMIT,
    ROLLBACK,
    OUTCOME;

    /** Returns whether the request continues a transaction that began earlier. */
    public boolean continuesTransaction() {
        return this == TRANSACTION_STATEMENT || this == COMMIT || this == ROLLBACK;
    }
}
