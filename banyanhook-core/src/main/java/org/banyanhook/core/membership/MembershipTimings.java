package org.banyanhook.core.membership;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * How long beliefs last.
 *
 * @param suspicionTimeoutMillis how long a suspect may take to refute
 * @param leavingTimeoutMillis how long an announced shutdown may take before the member counts as dead
 * @param deadRetentionMillis how long a dead member is remembered, so that old news does not bring it back
 */
public record MembershipTimings(long suspicionTimeoutMillis, long leavingTimeoutMillis, long deadRetentionMillis) {

    /** The timings of a fleet in service. */
    public static final MembershipTimings DEFAULT = new MembershipTimings(4_000, 60_000, 3_600_000);

    public MembershipTimings {
        checkArgument(suspicionTimeoutMillis > 0, "suspicionMillis must be positive, was %s", suspicionTimeoutMillis);
        checkArgument(leavingTimeoutMillis > 0, "leavingMillis must be positive, was %s", leavingTimeoutMillis);
        checkArgument(
                deadRetentionMillis > suspicionTimeoutMillis,
                "deadRetentionMillis must be over suspicionMillis, was %s",
                deadRetentionMillis);
    }
}
