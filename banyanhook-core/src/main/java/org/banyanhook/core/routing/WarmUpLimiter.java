package org.banyanhook.core.routing;

import java.time.Duration;

/**
 * Spaces the work that one daemon gives to a member that is warming up, so that all daemons together stay within the
 * member's limit. Not safe for use by several threads.
 */
public final class WarmUpLimiter {

    private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

    private long warmUpEndNanos;
    private long nextRequestNanos;

    /**
     * Creates a limit for a member that is warm.
     *
     * @param nowNanos the time on this entry VM's monotonic clock
     */
    public WarmUpLimiter(long nowNanos) {
        this.warmUpEndNanos = nowNanos;
        this.nextRequestNanos = nowNanos;
    }

    /**
     * Takes in what the member says of itself.
     *
     * @param remainingMillis how much longer it warms up
     * @param nowNanos the time on this entry VM's monotonic clock
     */
    public void recordRemainingWarmUp(long remainingMillis, long nowNanos) {
        warmUpEndNanos =
                nowNanos + Duration.ofMillis(Math.max(0, remainingMillis)).toNanos();
    }

    /**
     * Returns whether the member may get work now.
     *
     * @param nowNanos the time on this entry VM's monotonic clock
     * @return true if it is warm or its next turn has come
     */
    public boolean allowsRequest(long nowNanos) {
        return nowNanos - warmUpEndNanos >= 0 || nowNanos - nextRequestNanos >= 0;
    }

    /**
     * Notes that the member gets work.
     *
     * @param requestsPerSecond the member's limit, 0 for none
     * @param daemons how many daemons share it
     * @param nowNanos the time on this entry VM's monotonic clock
     */
    public void recordRequest(double requestsPerSecond, int daemons, long nowNanos) {
        if (requestsPerSecond > 0 && nowNanos - warmUpEndNanos < 0) {
            nextRequestNanos = nowNanos + (long) (NANOS_PER_SECOND * daemons / requestsPerSecond);
        }
    }
}
