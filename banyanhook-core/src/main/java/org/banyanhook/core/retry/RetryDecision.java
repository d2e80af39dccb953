package org.banyanhook.core.retry;

import org.banyanhook.core.error.Execution;

/**
 * What to do after a failed attempt.
 *
 * @param action what to do
 * @param execution what is known about the request, over all its attempts so far
 * @param reason why, for the log
 */
public record RetryDecision(Action action, Execution execution, String reason) {

    /** What to do after a failed attempt. */
    public enum Action {
        /** Ask again who the primary is and send the statement again. */
        RETRY,
        /** Send it again on a connection that was never idle, to another member if one may serve it. */
        RETRY_ELSEWHERE,
        /** Refuse the request. */
        REFUSE
    }
}
