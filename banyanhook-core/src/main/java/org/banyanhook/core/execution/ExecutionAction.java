package org.banyanhook.core.execution;

/** What an event leads to. */
public enum ExecutionAction {
    /** Use the connection: send BEGIN, or the statement if it needs no transaction. */
    USE_CONNECTION,
    /** Send the statement on the connection that has begun the transaction. */
    SEND_STATEMENT,
    /** Evaluate the answer to the statement: report it, or retry. */
    EVALUATE_ANSWER,
    /** Pass the rows on to the caller, after which the statement cannot be retried any more. */
    PASS_ROWS,
    /** Report the time-out if no rows have arrived for as long as a statement may take; otherwise wait for more. */
    CHECK_PROGRESS,
    /** Report that the answer ended before it was complete. */
    REPORT_INCOMPLETE,
    /** Close the connection on which the rest of the rows would arrive, and end the execution without a report. */
    CLOSE_SILENTLY,
    /** Return the connection that refused to begin, and retry or report the refusal. */
    EVALUATE_REFUSED_BEGIN,
    /** Evaluate the loss of the connection while the statement was running: report it, or retry a read. */
    EVALUATE_LOSS,
    /** Request another connection; nothing has run. */
    REQUEST_CONNECTION,
    /** Report that no connection was available. */
    REPORT_REFUSAL,
    /** Withdraw the request for a connection and report that the statement was not run in time. */
    WITHDRAW_AND_REPORT,
    /** Close the connection, whose state is uncertain, and report that the answer is not awaited any longer. */
    CLOSE_AND_REPORT,
    /** End the execution without a report. */
    END_SILENTLY,
    /** Return a connection that the execution must not use any more; it is rolled back first if necessary. */
    RETURN_CONNECTION,
    /** Do nothing. */
    IGNORE
}
