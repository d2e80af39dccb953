package org.banyanhook.core.routing;

/**
 * The expected latency of a member: an exponentially weighted moving average of its answers. Without answers the
 * estimate decays towards the minimum latency, so that a member that was slow is tried again. Not safe for use by
 * several threads.
 */
public final class LatencyEstimate {

    /** The weight of a new answer; the estimate reflects about the last five answers. */
    private static final double NEW_SAMPLE_WEIGHT = 0.2;

    /** The time constant of the decay: one third of the excess over the minimum remains after it. */
    private static final double DECAY_NANOS = 1e9;

    private static final double NANOS_PER_MILLI = 1e6;

    private double smoothedNanos;
    private double minimumNanos;
    private long lastRecordedNanos;

    /**
     * Creates an estimate.
     *
     * @param initialNanos the expected latency before the first answer
     * @param nowNanos the time on this entry VM's monotonic clock
     */
    public LatencyEstimate(long initialNanos, long nowNanos) {
        this.smoothedNanos = initialNanos;
        this.minimumNanos = initialNanos;
        this.lastRecordedNanos = nowNanos;
    }

    /**
     * Records the latency of an answer.
     *
     * @param latencyNanos the latency of the answer
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
