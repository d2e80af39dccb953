package org.banyanhook.core.execution;

/** The phase of running one statement on a member. */
public enum ExecutionPhase {
    /** A connection has been requested. */
    WAITING_FOR_CONNECTION,
    /** The transaction's BEGIN was sent on a connection and is not answered yet. */
    BEGINNING,
    /** The statement was sent on a connection and is not answered yet. */
    RUNNING,
    /** A part of the rows has been passed on to the caller; the rest is still to come. */
    PASSING_ROWS,
    /** The statement had no effect and is to be retried after a delay. */
    WAITING_FOR_RETRY,
    /** The outcome has been reported, or the caller has left. */
    FINISHED
}
