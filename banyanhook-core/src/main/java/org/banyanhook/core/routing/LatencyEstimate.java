package org.banyanhook.core.routing;

/**
 * How long a member takes to answer, smoothed over its latest answers. Without answers the estimate falls back towards
 * the least latency seen, so that a member which was slow is tried again. Not safe for use by several threads.
 */
public final class LatencyEstimate {

    /** The weight of a new answer, so that about five answers make the estimate. */
    private static final double NEW_SAMPLE_WEIGHT = 0.2;

    /** After this long without an answer, two thirds of the excess over the least latency are forgotten. */
    private static final double DECAY_NANOS = 1e9;

    private static final double NANOS_PER_MILLI = 1e6;

    private double smoothedNanos;
    private double minimumNanos;
    private long lastRecordedNanos;

    /**
     * Creates an estimate.
     *
     * @param initialNanos what to expect before the first answer
     * @param nowNanos the time on this entry VM's monotonic clock
     */
    public LatencyEstimate(long initialNanos, long nowNanos) {
        this.smoothedNanos = initialNanos;
        this.minimumNanos = initialNanos;
        this.lastRecordedNanos = nowNanos;
    }

    /**
     * Takes in an answer.
     *
     * @param latencyNanos how long it took
     * @param nowNanos the time on this entry VM's monotonic clock
     */
    public void recordLatency(long latencyNanos, long nowNanos) {
        smoothedNanos = expectedNanos(nowNanos) * (1 - NEW_SAMPLE_WEIGHT) + latencyNanos * NEW_SAMPLE_WEIGHT;
        minimumNanos = Math.min(minimumNanos, latencyNanos);
        lastRecordedNanos = nowNanos;
    }

    /**
     * Returns the expected latency.
     *
     * @param nowNanos the time on this entry VM's monotonic clock
     * @return the latency in milliseconds
     */
    public double expectedMillis(long nowNanos) {
        return expectedNanos(nowNanos) / NANOS_PER_MILLI;
    }

    private double expectedNanos(long nowNanos) {
        double decay = Math.exp(-Math.max(0, nowNanos - lastRecordedNanos) / DECAY_NANOS);
        return minimumNanos + (smoothedNanos - minimumNanos) * decay;
    }
}
