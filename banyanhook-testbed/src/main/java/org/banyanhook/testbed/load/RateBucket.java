package org.banyanhook.testbed.load;

/** Tells which offered requests of an account are within its rate and burst. Not safe for use by several threads. */
final class RateBucket {

    private static final double NANOS_PER_SECOND = 1e9;

    private final double ratePerSecond;
    private final double burst;
    private double tokens;
    private long lastNanos;

    RateBucket(double ratePerSecond, double burst) {
        this.ratePerSecond = ratePerSecond;
        this.burst = burst;
        this.tokens = burst;
    }

    /** Takes a token for a request at a time that never goes back; returns false if there is none. */
    boolean take(long nowNanos) {
        tokens = Math.min(burst, tokens + (nowNanos - lastNanos) / NANOS_PER_SECOND * ratePerSecond);
        lastNanos = nowNanos;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
