package org.banyanhook.gateway.message;

/** Why a statement failed, as told by a member or to a caller. */
public enum SessionError {
    /** The database name has no route. */
    DATABASE_UNKNOWN(true),
    /** The key is not granted to any client account. */
    KEY_UNKNOWN(true),
    /** There is no room; the statement did not run. */
    OVERLOADED(true),
    /** The transaction was rolled back. */
    TRANSACTION_ABORTED(true),
    /** The replica's log lacks a position that the read needs. */
    REPLICA_BEHIND(true),
    /** The member is not the primary. */
    NOT_PRIMARY(true),
    /** Another backend server now uses the address. */
    WRONG_SERVER(true),
    /** The member has as many connections as it may have. */
    CONNECTION_LIMIT(true),
    /** The prepared name is unknown. */
    PREPARED_UNKNOWN(true),
    /** The request cannot be understood in the present state. */
    MALFORMED(true),
    /** The statement ran and failed. */
    STATEMENT_FAILED(false),
    /** The statement took too long; it may have run. */
    TIMED_OUT(false),
    /** Whether the statement took effect is unknown. */
    OUTCOME_UNKNOWN(false);

    private final boolean guaranteesNoEffect;

    SessionError(boolean notRun) {
        this.guaranteesNoEffect = notRun;
    }

    /** Returns whether the error promises that nothing of the statement is kept. */
    public boolean guaranteesNoEffect() {
        return guaranteesNoEffect;
    }
}
