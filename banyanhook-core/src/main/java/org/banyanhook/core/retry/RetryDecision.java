package org.banyanhook.core.retry;

import org.banyanhook.core.error.Execution;

/**
 * The decision after a failed attempt.
 *
 * @param action the action to take
 * @param execution whether the request has run, as far as is known from all its attempts
 * @param reason the reason, for the log
 */
public record RetryDecision(Action action, Execution execution, String reason) {

    /** The action to take after a failed attempt. */
    public enum Action {
        /** Determine the primary again and resend the statement. */
        RETRY,
        /** Resend the statement on a connection that was never idle, to another member if one may serve it. */
        RETRY_ELSEWHERE,
        /** Refuse the request. */
        REFUSE
    }
}
