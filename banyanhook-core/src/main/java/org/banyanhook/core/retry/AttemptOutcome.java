package org.banyanhook.core.retry;

/** How an attempt to run a statement on a member ended. */
public enum AttemptOutcome {
    /** No byte left this process. */
    NOT_SENT,
    /** The member leads the group in another term, or not at all, and did not run the statement. */
    PRIMARY_CHANGED,
    /** The member had no room and did not run the statement. */
    NO_ROOM,
    /** The member found the statement in error and did not run it. */
    STATEMENT_REJECTED,
    /** The idempotency key was used with another statement; this one did not run. */
    IDEMPOTENCY_KEY_REUSED,
    /** A byte may have left, and no whole answer came back. */
    MAYBE_SENT
}
