package org.banyanhook.core.scheduling;

/**
 * Learns from the answers of one daemon how long a member takes for a statement at low load, and its knee: the number
 * of statements in flight beyond which answers only get slower. Not safe for use by several threads.
 *
 * <p>Load pattern: members differ in speed, and some slow down before all their slots are in use, while most of the
 * waiting at a member is caused by other daemons. By Little's law, a member with more statements in flight than its
 * knee multiplies the latency by their quotient; the latency is divided by it to obtain the service time.
 *
 * <p>The knee follows the gradient of the long against the short average latency. It was compared with additive
 * increase and multiplicative decrease, and with a line fitted to the latency over the statements in flight; see
 * docs/design/member-capacity.md.
 */
public final class CapacityEstimator {

    /** The expected service time before the first answer. */
    static final double INITIAL_SERVICE_MILLIS = 15;

    /**
     * The latency that a failed statement counts for, so that a member that fails fast does not look quick. Most of a
     * latency objective of 250 ms is lost to a caller who has to retry.
     */
    static final double FAILURE_MILLIS = 200;

    /** The least latency that is recorded, since estimates change by factors and could not rise again from 0. */
    static final double MINIMUM_MILLIS = 0.1;

    /** The time constant with which answers lose weight; load and speed of a member change within seconds. */
    static final double ANSWER_WEIGHT_SECONDS = 2;

    private static final double SHORT_WEIGHT = 0.15;
    private static final double LONG_WEIGHT = 0.02;
    private static final double KNEE_WEIGHT = 0.1;

    /** A short average up to this multiple of the long one is attributed to the spread of the statements. */
    private static final double TOLERANCE = 1.5;

    private static final double MINIMUM_GRADIENT = 0.5;

    /** The increase of the knee without a gradient, while the member is used up to half of it, and otherwise. */
    private static final double BUSY_INCREASE = 0.2;

    private static final double QUIET_INCREASE = 0.05;

    /** How fast the long average falls when the member has become faster. */
    private static final double LONG_AVERAGE_RECOVERY = 0.95;

    /** A single answer counts for at most this multiple of the short average, because a few statements are long. */
    private static final double MAXIMUM_OUTLIER = 3;

    private static final double SERVICE_WEIGHT = 0.1;

    /** The weight of an answer after several in sequence that differ in the same direction: the speed has changed. */
    private static final double CHANGED_SERVICE_WEIGHT = 0.3;

    private static final int CHANGED_AFTER_ANSWERS = 3;
    private static final double CHANGED_FACTOR = 1.6;
    private static final double MAXIMUM_SERVICE_STEP = 6;

    private static final double LATENCY_WEIGHT = 0.2;

    private static final double NANOS_PER_MILLI = 1e6;
    private static final double NANOS_PER_SECOND = 1e9;

    private final double slots;
    private double knee;
    private double shortMillis = INITIAL_SERVICE_MILLIS;
    private double longMillis = INITIAL_SERVICE_MILLIS;
    private double serviceMillis = INITIAL_SERVICE_MILLIS;
    private double latencyMillis = INITIAL_SERVICE_MILLIS;
    private int answersInOneDirection;
    private double answers;
    private long lastAnswerNanos;

    /**
     * Creates an estimator without answers.
     *
     * @param slots how many statements the member runs at a time
     * @param nowNanos the time on this entry VM's monotonic clock
     */
    public CapacityEstimator(int slots, long nowNanos) {
        this.slots = Math.max(1, slots);
        this.knee = this.slots;
        this.lastAnswerNanos = nowNanos;
    }

    /**
     * Records an answer of the member.
     *
     * @param latencyNanos the time from sending the command to the answer
     * @param inFlight the statements of all daemons that the member was running or had queued, as far as known
     * @param nowNanos the time
     */
    public void recordAnswer(long latencyNanos, double inFlight, long nowNanos) {
        double millis = Math.max(MINIMUM_MILLIS, latencyNanos / NANOS_PER_MILLI);
        recordArrival(nowNanos);
        latencyMillis += Math.max(LATENCY_WEIGHT, 1 / answers) * (millis - latencyMillis);
        updateKnee(millis, inFlight);
        updateService(millis / Math.max(1, inFlight / knee));
    }

    /**
     * Records that the member failed a statement, or did not answer it in time.
     *
     * @param latencyNanos the time from sending the command to the failure
     * @param nowNanos the time
     */
    public void recordFailure(long latencyNanos, long nowNanos) {
        double millis = Math.max(FAILURE_MILLIS, latencyNanos / NANOS_PER_MILLI);
        recordArrival(nowNanos);
        latencyMillis += LATENCY_WEIGHT * (millis - latencyMillis);
        updateService(millis);
    }

    /** Removes the weight of the answers so far, because their age is not known any more. */
    public void clearAnswers(long nowNanos) {
        answers = 0;
        lastAnswerNanos = nowNanos;
    }

    /** Returns the time of a statement without other work on the member, in milliseconds. */
    public double serviceMillis() {
        return serviceMillis;
    }

    /** Returns the number of statements in flight beyond which answers only get slower. */
    public double knee() {
        return knee;
    }

    /**
     * Returns by how much recent answers were slower than a service time, which decays without answers.
     *
     * @param service the service time in milliseconds
     * @param nowNanos the time
     */
    double waitingMillis(double service, long nowNanos) {
        return Math.max(0, latencyMillis - service) * decay(nowNanos);
    }

    /** Returns the number of recent answers, each weighted by its age. */
    double answers(long nowNanos) {
        return answers * decay(nowNanos);
    }

    /**
     * Returns what other daemons may use.
     *
     * @param running the statements of this daemon that the member is running or has queued
     * @param nowNanos the time
     */
    public CapacityReport report(int running, long nowNanos) {
        return new CapacityReport(serviceMillis, knee, running, answers(nowNanos), nowNanos - lastAnswerNanos);
    }

    private void recordArrival(long nowNanos) {
        answers = answers(nowNanos) + 1;
        lastAnswerNanos = nowNanos;
    }

    private double decay(long nowNanos) {
        return Math.exp(-Math.max(0, nowNanos - lastAnswerNanos) / NANOS_PER_SECOND / ANSWER_WEIGHT_SECONDS);
    }

    private void updateKnee(double millis, double inFlight) {
        double limited = Math.min(millis, MAXIMUM_OUTLIER * shortMillis);
        shortMillis += SHORT_WEIGHT * (limited - shortMillis);
        longMillis += LONG_WEIGHT * (limited - longMillis);
        if (longMillis > TOLERANCE * shortMillis) {
            longMillis *= LONG_AVERAGE_RECOVERY;
        }
        double gradient = Math.max(MINIMUM_GRADIENT, Math.min(1, TOLERANCE * longMillis / shortMillis));
        double increase = inFlight >= knee / 2 ? BUSY_INCREASE : QUIET_INCREASE;
        knee = Math.max(1, Math.min(slots, knee + KNEE_WEIGHT * (knee * gradient + increase - knee)));
    }

    /** Answers after a time without answers have more weight, since the former ones say less of the member now. */
    private void updateService(double millis) {
        double ratio = millis / serviceMillis;
        int direction = ratio > CHANGED_FACTOR ? 1 : ratio < 1 / CHANGED_FACTOR ? -1 : 0;
        boolean continues = direction * answersInOneDirection > 0;
        answersInOneDirection = continues ? answersInOneDirection + direction : direction;
        boolean changed = Math.abs(answersInOneDirection) >= CHANGED_AFTER_ANSWERS;
        double weight = Math.max(changed ? CHANGED_SERVICE_WEIGHT : SERVICE_WEIGHT, 1 / answers);
        serviceMillis *= 1 + weight * (Math.min(ratio, MAXIMUM_SERVICE_STEP) - 1);
    }
}
