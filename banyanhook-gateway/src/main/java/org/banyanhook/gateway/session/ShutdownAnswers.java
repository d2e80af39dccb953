package org.banyanhook.gateway.session;

import org.banyanhook.core.execution.UnansweredStatement;
import org.banyanhook.gateway.message.SessionError;

/** What callers are told whose statements have no answer yet when the process ends. */
final class ShutdownAnswers {

    static final String NOT_RUN_DETAIL = "this entry VM is being stopped; retry on a new connection";

    private ShutdownAnswers() {}

    static SessionError error(UnansweredStatement known) {
        return switch (known) {
            case NOT_RUN -> SessionError.OVERLOADED;
            case ROLLED_BACK -> SessionError.TRANSACTION_ABORTED;
            case READ -> SessionError.STATEMENT_FAILED;
            case IN_DOUBT -> SessionError.OUTCOME_UNKNOWN;
        };
    }

    static String detail(UnansweredStatement known) {
        return switch (known) {
            case NOT_RUN -> NOT_RUN_DETAIL;
            case ROLLED_BACK -> "this entry VM is being stopped; begin a new transaction on a new connection";
            case READ -> "this entry VM stopped before the member answered; run the read again on a new connection";
            case IN_DOUBT ->
                "this entry VM stopped before the member answered; check on a new connection whether the write was kept";
        };
    }
}
