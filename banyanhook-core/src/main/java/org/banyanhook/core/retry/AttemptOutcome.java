package org.banyanhook.core.retry;

/** The outcome of an attempt to run a statement on a member. */
public enum AttemptOutcome {
    /** No byte was sent. */
    NOT_SENT,
    /** The member is not the primary, or is primary in another term, and did not run the statement. */
    PRIMARY_CHANGED,
    /** The member had no capacity and did not run the statement. */
    NO_ROOM,
    /** The member rejected the statement as erroneous and did not run it. */
    STATEMENT_REJECTED,
    /** The idempotency key was already used with another statement; this statement did not run. */
    IDEMPOTENCY_KEY_REUSED,
    /** At least one byte may have been sent, and no complete answer was received. */
    MAYBE_SENT
}
