package org.banyanhook.core.routing;

import java.time.Duration;

/**
 * Spaces the requests that one daemon sends to a member that is warming up, so that all daemons together stay within
 * the member's rate limit. Not safe for use by several threads.
 */
public final class WarmUpLimiter {

    /** The member reports the time itself; without a bound an odd value would exceed the range of the clock. */
    private static final Duration MAXIMUM_WARM_UP = Duration.ofDays(1);

    private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

    private long warmUpEndNanos;
    private long nextRequestNanos;

    /**
     * Creates a limiter for a member that is not warming up.
     *
     * @param nowNanos the time on this entry VM's monotonic clock
     */
    public WarmUpLimiter(long nowNanos) {
        this.warmUpEndNanos = nowNanos;
        this.nextRequestNanos = nowNanos;
    }

    /**
     * Records the remaining warm-up time that the member reported.
     *
     * @param remainingMillis the remaining warm-up time; a longer one than a day counts as a day
     * @param nowNanos the time on this entry VM's monotonic clock
     */
    public void recordRemainingWarmUp(long remainingMillis, long nowNanos) {
        long boundedMillis = Math.min(Math.max(0, remainingMillis), MAXIMUM_WARM_UP.toMillis());
        warmUpEndNanos = nowNanos + Duration.ofMillis(boundedMillis).toNanos();
    }

    /**
     * Returns whether a request may be sent to the member now.
     *
     * @param nowNanos the time on this entry VM's monotonic clock
     * @return true if the member is not warming up, or the interval since the last request has passed
     */
    public boolean allowsRequest(long nowNanos) {
        return nowNanos - warmUpEndNanos >= 0 || nowNanos - nextRequestNanos >= 0;
    }

    /**
     * Records that a request is sent to the member.
     *
     * @param requestsPerSecond the member's rate limit during its warm-up, 0 for none
     * @param daemons the number of daemons that share the limit
     * @param nowNanos the time on this entry VM's monotonic clock
     */
    public void recordRequest(double requestsPerSecond, int daemons, long nowNanos) {
        if (requestsPerSecond > 0 && nowNanos - warmUpEndNanos < 0) {
            nextRequestNanos = nowNanos + (long) (NANOS_PER_SECOND * daemons / requestsPerSecond);
        }
    }
}
