package org.banyanhook.core.routing;

import java.time.Duration;

/**
 * Spaces the work that one daemon gives to a member that is warming up, so that all daemons together stay within the
 * member's limit. Not safe for use by several threads.
 */
public final class WarmUpLimit {

    private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

    private long warmAtNanos;
    private long nextNanos;

    /**
     * Creates a limit for a member that is warm.
     *
     * @param nowNanos the time on this entry VM's monotonic clock
     */
    public WarmUpLimit(long nowNanos) {
        this.warmAtNanos = nowNanos;
        this.nextNanos = nowNanos;
    }

    /**
     * Takes in what the member says of itself.
     *
     * @param leftMillis how much longer it warms up
     * @param nowNanos the time on this entry VM's monotonic clock
     */
    public void observe(long leftMillis, long nowNanos) {
        warmAtNanos = nowNanos + Duration.ofMillis(Math.max(0, leftMillis)).toNanos();
    }

    /**
     * Returns whether the member may get work now.
     *
     * @param nowNanos the time on this entry VM's monotonic clock
     * @return true if it is warm or its next turn has come
     */
    public boolean allows(long nowNanos) {
        return nowNanos - warmAtNanos >= 0 || nowNanos - nextNanos >= 0;
    }

    /**
     * Notes that the member gets work.
     *
     * @param perSecond the member's limit, 0 for none
     * @param daemons how many daemons share it
     * @param nowNanos the time on this entry VM's monotonic clock
     */
    public void count(double perSecond, int daemons, long nowNanos) {
        if (perSecond > 0 && nowNanos - warmAtNanos < 0) {
            nextNanos = nowNanos + (long) (NANOS_PER_SECOND * daemons / perSecond);
        }
    }
}
