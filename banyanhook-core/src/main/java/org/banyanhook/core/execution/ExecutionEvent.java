package org.banyanhook.core.execution;

/** An event during the execution of a statement. */
public enum ExecutionEvent {
    /** A connection was leased to the execution. */
    CONNECTION_LEASED,
    /** The request for a connection was refused. */
    CONNECTION_REFUSED,
    /** The member has begun the transaction. */
    BEGIN_SUCCEEDED,
    /** The member has refused to begin the transaction. */
    BEGIN_REFUSED,
    /** The member has answered the statement. */
    STATEMENT_ANSWERED,
    /** The member has sent more rows than are held back; the answer is not complete yet. */
    ROWS_EXCEED_BOUND,
    /** The connection closed before the member answered the command sent last. */
    CONNECTION_LOST,
    /** The delay before a retry has passed. */
    RETRY_DUE,
    /** The time limit of the statement has passed. */
    DEADLINE_PASSED,
    /** The caller has disconnected. */
    CALLER_LEFT,
    /** The process ends before the statement has been answered. */
    PROCESS_ENDS
}
