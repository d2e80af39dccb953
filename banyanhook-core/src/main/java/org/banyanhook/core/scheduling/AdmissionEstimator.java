package org.banyanhook.core.scheduling;

/**
 * Estimates how long a request would wait for a connection, and whether it could still be served in time.
 *
 * <p>Load: more requests wait than can be run before they time out. A refused request is tried at another daemon at
 * once, so it is refused only if waiting here is useless. The time that a place (a connection in use) is held is
 * measured from the requests that have ended; it includes waiting at the member. Not safe for use by several threads.
 */
public final class AdmissionEstimator {

    /** The weight of a new measurement; the estimate reflects about the last ten requests. */
    private static final double NEW_SAMPLE_WEIGHT = 0.1;

    /** With fewer measurements nothing is refused. */
    static final int MINIMUM_SAMPLES = 20;

    /** The estimated wait must exceed the time left by this factor, because hold times vary. */
    static final double REFUSAL_MARGIN = 2;

    /** A place held longer than this many times the average, as by an idle transaction, does not count as a place. */
    private static final double OCCUPIED_FACTOR = 4;

    /**
     * The longest hold that is recorded. An idle transaction or an extract that its caller reads slowly says nothing of
     * how soon other places become free, and would shift the average for many requests.
     */
    private static final long MAXIMUM_HOLD_NANOS = 500_000_000L;

    private double holdNanos;
    private int samples;

    /** The reason for an estimate's decision. */
    public enum Reason {
        /** The request can be served in time. */
        IN_TIME,
        /** Nothing is known about the hold times, or no place will become free in a time that can be estimated. */
        UNKNOWN,
        /** The requests ahead take longer than the time left. */
        QUEUE_TOO_LONG,
        /** The requests ahead take longer than the time left, even if the primary serves again now. */
        PRIMARY_AWAY
    }

    /**
     * The state of the queue that a request would join.
     *
     * @param ahead how many requests would be served before
     * @param places how many places are free or will become free, without those of long transactions
     * @param serving whether a member that qualifies is serving; false while a primary is being replaced
     */
    public record QueueState(double ahead, int places, boolean serving) {}

    /**
     * An estimate.
     *
     * @param reason the reason
     * @param waitNanos the expected wait, 0 if it is unknown
     */
    public record Estimate(Reason reason, long waitNanos) {

        /** Returns whether the request should be refused. */
        public boolean refuses() {
            return reason == Reason.QUEUE_TOO_LONG || reason == Reason.PRIMARY_AWAY;
        }
    }

    /** Records how long a request held its place. */
    public void recordHold(long nanos) {
        double limit = samples < MINIMUM_SAMPLES
                ? MAXIMUM_HOLD_NANOS
                : Math.min(MAXIMUM_HOLD_NANOS, OCCUPIED_FACTOR * holdNanos);
        double recorded = Math.min(nanos, limit);
        holdNanos = samples == 0 ? recorded : holdNanos + (recorded - holdNanos) * NEW_SAMPLE_WEIGHT;
        samples = Math.min(samples + 1, MINIMUM_SAMPLES);
    }

    /** Returns how long a request holds its place on average, 0 if nothing was measured. */
    public long expectedHoldNanos() {
        return (long) holdNanos;
    }

    /** Returns whether a place that has been held for a time counts as one that will become free soon. */
    public boolean countsAsPlace(long heldNanos) {
        return samples < MINIMUM_SAMPLES || heldNanos <= OCCUPIED_FACTOR * holdNanos;
    }

    /**
     * Estimates whether a request can be served in time.
     *
     * @param state the state of the queue
     * @param remainingNanos the time left until the request times out
     * @return the estimate
     */
    public Estimate estimate(QueueState state, long remainingNanos) {
        if (samples < MINIMUM_SAMPLES || state.places() <= 0) {
            return new Estimate(Reason.UNKNOWN, 0);
        }
        long waitNanos = (long) (state.ahead() * holdNanos / state.places());
        if (waitNanos <= remainingNanos * REFUSAL_MARGIN) {
            return new Estimate(Reason.IN_TIME, waitNanos);
        }
        return new Estimate(state.serving() ? Reason.QUEUE_TOO_LONG : Reason.PRIMARY_AWAY, waitNanos);
    }
}
