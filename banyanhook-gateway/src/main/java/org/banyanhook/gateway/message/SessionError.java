package org.banyanhook.gateway.message;

/** The reason for the failure of a statement, as reported by a member or to a caller. */
public enum SessionError {
    /** No route is configured for the database name. */
    DATABASE_UNKNOWN(true),
    /** The key is not granted to any client account. */
    KEY_UNKNOWN(true),
    /** The capacity or the rate limit is exhausted; the statement did not run. */
    OVERLOADED(true),
    /** The transaction was rolled back. */
    TRANSACTION_ABORTED(true),
    /** The replica's log does not contain the minimum position of the read. */
    REPLICA_BEHIND(true),
    /** The member is not the primary. */
    NOT_PRIMARY(true),
    /** The address now belongs to another backend server. */
    WRONG_SERVER(true),
    /** The member has reached its connection limit. */
    CONNECTION_LIMIT(true),
    /** The home that keeps connections to the member did not run the statement. Never reported to a caller. */
    HOME_REFUSED(true),
    /** The home gave up a read because its answer is too large to be passed on. Never reported to a caller. */
    HOME_ANSWER_TOO_LARGE(true),
    /** No prepared statement has this name. */
    PREPARED_UNKNOWN(true),
    /** The request is malformed or not valid in the current state. */
    MALFORMED(true),
    /** The statement ran and failed. */
    STATEMENT_FAILED(false),
    /** The statement timed out; it may have run. */
    TIMED_OUT(false),
    /** It is unknown whether the statement took effect. */
    OUTCOME_UNKNOWN(false);

    private final boolean guaranteesNoEffect;

    SessionError(boolean notRun) {
        this.guaranteesNoEffect = notRun;
    }

    /** Returns whether the error guarantees that the statement has no lasting effect. */
    public boolean guaranteesNoEffect() {
        return guaranteesNoEffect;
    }

    /** Returns whether the error says nothing of the member, because a home has answered instead. */
    public boolean isOfHome() {
        return this == HOME_REFUSED || this == HOME_ANSWER_TOO_LARGE;
    }

    /** Returns whether the error means that the statement was refused and has not begun to run. */
    public boolean isRefusal() {
        return guaranteesNoEffect && this != TRANSACTION_ABORTED;
    }
}
