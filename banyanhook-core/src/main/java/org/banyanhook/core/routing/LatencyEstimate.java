package org.banyanhook.core.routing;

/**
 * How long a member takes to answer, smoothed over its latest answers. Without answers the estimate falls back towards
 * the least latency seen, so that a member which was slow is tried again. Not safe for use by several threads.
 */
public final class LatencyEstimate {

    /** The weight of a new answer, so that about five answers make the estimate. */
    private static final double WEIGHT = 0.2;

    /** After this long without an answer, two thirds of the excess over the least latency are forgotten. */
    private static final double FORGET_NANOS = 1e9;

    private static final double NANOS_PER_MILLI = 1e6;

    private double smoothedNanos;
    private double leastNanos;
    private long observedNanos;

    /**
     * Creates an estimate.
     *
     * @param initialNanos what to expect before the first answer
     * @param nowNanos the time on this entry VM's monotonic clock
     */
    public LatencyEstimate(long initialNanos, long nowNanos) {
        this.smoothedNanos = initialNanos;
        this.leastNanos = initialNanos;
        this.observedNanos = nowNanos;
    }

    /**
     * Takes in an answer.
     *
     * @param latencyNanos how long it took
     * @param nowNanos the time on this entry VM's monotonic clock
     */
    public void observe(long latencyNanos, long nowNanos) {
        smoothedNanos = nanos(nowNanos) * (1 - WEIGHT) + latencyNanos * WEIGHT;
        leastNanos = Math.min(leastNanos, latencyNanos);
        observedNanos = nowNanos;
    }

    /**
     * Returns the expected latency.
     *
     * @param nowNanos the time on this entry VM's monotonic clock
     * @return the latency in milliseconds
     */
    public double millis(long nowNanos) {
        return nanos(nowNanos) / NANOS_PER_MILLI;
    }

    private double nanos(long nowNanos) {
        double kept = Math.exp(-Math.max(0, nowNanos - observedNanos) / FORGET_NANOS);
        return leastNanos + (smoothedNanos - leastNanos) * kept;
    }
}
