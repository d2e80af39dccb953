package org.banyanhook.core.membership;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The timeouts of membership states, in milliseconds.
 *
 * @param suspicionTimeoutMillis how long a suspect member has to refute the suspicion before it counts as dead
 * @param leavingTimeoutMillis how long a leaving member has to shut down before it counts as dead
 * @param deadRetentionMillis how long the record of a dead member is kept, so that outdated updates do not revive it
 */
public record MembershipTimings(long suspicionTimeoutMillis, long leavingTimeoutMillis, long deadRetentionMillis) {

    /** The default timings. */
    public static final MembershipTimings DEFAULT = new MembershipTimings(4_000, 60_000, 3_600_000);

    public MembershipTimings {
        checkArgument(
                suspicionTimeoutMillis > 0, "suspicionTimeoutMillis must be positive, was %s", suspicionTimeoutMillis);
        checkArgument(leavingTimeoutMillis > 0, "leavingTimeoutMillis must be positive, was %s", leavingTimeoutMillis);
        checkArgument(
                deadRetentionMillis > suspicionTimeoutMillis,
                "deadRetentionMillis must be greater than suspicionTimeoutMillis, was %s",
                deadRetentionMillis);
    }
}
