package org.banyanhook.core.primary;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/** Delays the proposals of one proposer for one database by randomized exponential backoff. Not thread-safe. */
public final class PromotionBackoff {

    private static final long INITIAL_DELAY_NANOS = Duration.ofMillis(200).toNanos();
    private static final int MAXIMUM_DOUBLINGS = 4;

    private int failures;
    private long notBeforeNanos;
    private boolean waiting;

    /**
     * Records that a proposal was abandoned.
     *
     * @param nowNanos the reading of the monotonic clock
     * @param random a random number from 0 (inclusive) to 1 (exclusive), so that competing proposers do not collide
     *     again
     */
    public void onAbandoned(long nowNanos, double random) {
        checkArgument(random >= 0 && random < 1, "random must be at least 0 and below 1, was %s", random);
        long ceiling = INITIAL_DELAY_NANOS << Math.min(failures, MAXIMUM_DOUBLINGS);
        notBeforeNanos = nowNanos + ceiling / 2 + (long) (random * ceiling);
        waiting = true;
        failures++;
    }

    /** Records that the group has a working primary. */
    public void onSuccess() {
        failures = 0;
        waiting = false;
    }

    /**
     * Returns whether a new proposal may start.
     *
     * @param nowNanos the reading of the monotonic clock
     * @return false during the delay after an abandoned proposal
     */
    public boolean mayPropose(long nowNanos) {
        return !waiting || nowNanos - notBeforeNanos >= 0;
    }
}
