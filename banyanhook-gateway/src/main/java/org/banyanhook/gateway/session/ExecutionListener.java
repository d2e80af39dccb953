package org.banyanhook.gateway.session;

import java.util.List;
import org.banyanhook.gateway.message.MemberAnswer;
import org.banyanhook.gateway.message.SessionError;

/** Receives the outcome of the execution: success or failure, exactly once. */
interface ExecutionListener {
    /**
     * Handles success.
     *
     * @param answer the answer of the member
     */
    void onSuccess(MemberAnswer answer);

    /**
     * Handles failure.
     *
     * @param error the error to report to the caller
     * @param detail the explanation, with the remedy where there is one
     */
    void onFailure(SessionError error, String detail);

    /**
     * Handles rows that precede those of the final answer. May be called several times before another method.
     *
     * @param rows the rows
     * @return whether the caller can take more now; otherwise {@link StatementExecution#resume()} has to be called
     */
    boolean onRows(List<String> rows);
}
