package org.banyanhook.testbed.rate;

/**
 * Checks that accepted requests in every window w never exceed rate * w + burst.
 *
 * <p>This holds for all windows just when a level that grows by one for each accepted request and falls by the rate
 * never exceeds the burst. Not safe for use by several threads.
 */
public final class WindowChecker {

    private static final double ROUNDING = 1e-3;
    private static final double NANOS_PER_SECOND = 1e9;

    private double ratePerSecond;
    private double burst;
    private double level;
    private double highestExcess;
    private long lastNanos;

    /** Creates a checker of a rate and burst. */
    public WindowChecker(double ratePerSecond, double burst) {
        this.ratePerSecond = ratePerSecond;
        this.burst = burst;
    }

    /** Changes the bound from a moment on. */
    public void change(double newRatePerSecond, double newBurst, long nowNanos) {
        fall(nowNanos);
        ratePerSecond = newRatePerSecond;
        burst = newBurst;
    }

    /** Counts an accepted request. */
    public void accepted(long nowNanos) {
        fall(nowNanos);
        level += 1;
        highestExcess = Math.max(highestExcess, level - burst);
    }

    /**
     * Returns whether a request would be accepted by one bucket for the whole fleet that sees every request at once.
     */
    public boolean wouldAccept(long nowNanos) {
        fall(nowNanos);
        return level + 1 <= burst + ROUNDING;
    }

    /** Returns by how many requests some window was exceeded, 0 if none was. */
    public double highestExcess() {
        return highestExcess > ROUNDING ? highestExcess : 0;
    }

    private void fall(long nowNanos) {
        level = Math.max(0, level - (nowNanos - lastNanos) / NANOS_PER_SECOND * ratePerSecond);
        lastNanos = nowNanos;
    }
}
