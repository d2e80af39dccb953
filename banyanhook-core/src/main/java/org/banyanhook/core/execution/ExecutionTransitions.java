package org.banyanhook.core.execution;

/**
 * What each event leads to in each phase of running a statement.
 *
 * <p>Load pattern: open connections go silent while clients have transactions open, so that time-outs, closes and late
 * answers interleave. An execution that has finished only returns connections; it sends nothing and requests nothing,
 * since its connection may serve another session by then.
 */
public final class ExecutionTransitions {

    private ExecutionTransitions() {}

    /**
     * Returns what an event leads to.
     *
     * @param phase the phase of the execution
     * @param event the event; an event of a connection that the execution does not use any more is evaluated with
     *     {@link ExecutionPhase#FINISHED}
     * @return the action
     */
    public static ExecutionAction decide(ExecutionPhase phase, ExecutionEvent event) {
        return switch (phase) {
            case WAITING_FOR_CONNECTION -> whileWaitingForConnection(event);
            case BEGINNING -> whileBeginning(event);
            case RUNNING -> whileRunning(event);
            case PASSING_ROWS -> whilePassingRows(event);
            case WAITING_FOR_RETRY -> whileWaitingForRetry(event);
            case FINISHED -> unexpected(event);
        };
    }

    private static ExecutionAction whileWaitingForConnection(ExecutionEvent event) {
        return switch (event) {
            case CONNECTION_LEASED -> ExecutionAction.USE_CONNECTION;
            case CONNECTION_REFUSED -> ExecutionAction.REPORT_REFUSAL;
            case DEADLINE_PASSED, PROCESS_ENDS -> ExecutionAction.WITHDRAW_AND_REPORT;
            case CALLER_LEFT -> ExecutionAction.END_SILENTLY;
            default -> unexpected(event);
        };
    }

    private static ExecutionAction whileBeginning(ExecutionEvent event) {
        return switch (event) {
            case BEGIN_SUCCEEDED -> ExecutionAction.SEND_STATEMENT;
            case BEGIN_REFUSED -> ExecutionAction.EVALUATE_REFUSED_BEGIN;
            case CONNECTION_LOST -> ExecutionAction.REQUEST_CONNECTION;
            case DEADLINE_PASSED, PROCESS_ENDS -> ExecutionAction.CLOSE_AND_REPORT;
            case CALLER_LEFT -> ExecutionAction.END_SILENTLY;
            default -> unexpected(event);
        };
    }

    private static ExecutionAction whileRunning(ExecutionEvent event) {
        return switch (event) {
            case STATEMENT_ANSWERED -> ExecutionAction.EVALUATE_ANSWER;
            case ROWS_EXCEED_BOUND -> ExecutionAction.PASS_ROWS;
            case CONNECTION_LOST -> ExecutionAction.EVALUATE_LOSS;
            case DEADLINE_PASSED, PROCESS_ENDS -> ExecutionAction.CLOSE_AND_REPORT;
            // A statement that was sent runs to completion, so that its transaction ends in a known state.
            case CALLER_LEFT -> ExecutionAction.IGNORE;
            default -> unexpected(event);
        };
    }

    private static ExecutionAction whilePassingRows(ExecutionEvent event) {
        return switch (event) {
            case STATEMENT_ANSWERED -> ExecutionAction.EVALUATE_ANSWER;
            case ROWS_EXCEED_BOUND -> ExecutionAction.PASS_ROWS;
            case CONNECTION_LOST -> ExecutionAction.REPORT_INCOMPLETE;
            case DEADLINE_PASSED -> ExecutionAction.CHECK_PROGRESS;
            case PROCESS_ENDS -> ExecutionAction.CLOSE_AND_REPORT;
            case CALLER_LEFT -> ExecutionAction.CLOSE_SILENTLY;
            default -> unexpected(event);
        };
    }

    private static ExecutionAction whileWaitingForRetry(ExecutionEvent event) {
        return switch (event) {
            case RETRY_DUE -> ExecutionAction.REQUEST_CONNECTION;
            case DEADLINE_PASSED, PROCESS_ENDS -> ExecutionAction.WITHDRAW_AND_REPORT;
            case CALLER_LEFT -> ExecutionAction.END_SILENTLY;
            default -> unexpected(event);
        };
    }

    /** Returns the action for an event that does not concern the execution in its present phase. */
    private static ExecutionAction unexpected(ExecutionEvent event) {
        return switch (event) {
            case CONNECTION_LEASED, BEGIN_SUCCEEDED, BEGIN_REFUSED, STATEMENT_ANSWERED ->
                ExecutionAction.RETURN_CONNECTION;
            default -> ExecutionAction.IGNORE;
        };
    }
}
