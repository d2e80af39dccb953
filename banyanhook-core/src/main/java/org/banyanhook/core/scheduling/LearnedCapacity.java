package org.banyanhook.core.scheduling;

import java.util.HashMap;
import java.util.Map;

/**
 * What is known of a member's speed: the answers of this daemon, combined with the reports of other daemons by their
 * number of answers and their age. Not safe for use by several threads.
 *
 * <p>Load pattern: one of 63 or 120 daemons receives less than one answer per second of a member, and most statements
 * that a member runs were sent by other daemons.
 */
public final class LearnedCapacity {

    /** Reports older than this are dropped; each neighbour with new answers reports several times within it. */
    static final long MAXIMUM_REPORT_AGE_NANOS = 10_000_000_000L;

    /** Exceeds the daemons of a failure domain; further senders are ignored. */
    static final int MAXIMUM_SENDERS = 64;

    /** The weight of the initial expectation, so that a member without recent answers is tried again. */
    private static final double INITIAL_WEIGHT = 0.3;

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MILLIS_PER_SECOND = 1e3;

    private final int slots;
    private final CapacityEstimator own;
    private final Map<String, ReceivedReport> reports = new HashMap<>();
    private double serviceMillis = CapacityEstimator.INITIAL_SERVICE_MILLIS;
    private double knee;
    private double othersPerSecond;

    private record ReceivedReport(CapacityReport report, long observedNanos) {}

    /**
     * Creates the knowledge of a member without answers.
     *
     * @param slots how many statements the member runs at a time
     * @param nowNanos the time on this entry VM's monotonic clock
     */
    public LearnedCapacity(int slots, long nowNanos) {
        this.slots = Math.max(1, slots);
        this.own = new CapacityEstimator(slots, nowNanos);
        this.knee = this.slots;
    }

    /**
     * Records an answer that this daemon received from the member.
     *
     * @param latencyNanos the time from sending the command to the answer
     * @param running the other statements of this daemon that the member is running or has queued
     * @param nowNanos the time
     */
    public void recordAnswer(long latencyNanos, int running, long nowNanos) {
        own.recordAnswer(latencyNanos, 1 + inFlight(running, nowNanos), nowNanos);
    }

    /**
     * Records that the member failed a statement of this daemon, or did not answer it in time.
     *
     * @param latencyNanos the time from sending the command to the failure
     * @param nowNanos the time
     */
    public void recordFailure(long latencyNanos, long nowNanos) {
        own.recordFailure(latencyNanos, nowNanos);
    }

    /**
     * Records the report of another daemon, which replaces its former one. Reports with values that no member can have
     * are ignored.
     *
     * @param sender the daemon
     * @param report the report
     * @param nowNanos the time
     */
    public void recordReport(String sender, CapacityReport report, long nowNanos) {
        boolean plausible = report.serviceMillis() > 0
                && report.answers() > 0
                && report.ageNanos() >= 0
                && report.ageNanos() < MAXIMUM_REPORT_AGE_NANOS;
        if (plausible && (reports.size() < MAXIMUM_SENDERS || reports.containsKey(sender))) {
            reports.put(sender, new ReceivedReport(report, nowNanos - report.ageNanos()));
        }
    }

    /** Removes what was learned before a pause of this daemon, after which its age is not known. */
    public void clear(long nowNanos) {
        reports.clear();
        own.clearAnswers(nowNanos);
        othersPerSecond = 0;
    }

    /**
     * Combines the own answers and the reports. To be called periodically; selections use the combined values.
     *
     * @param neighbours the number of other daemons that report to this one
     * @param otherDaemons the number of other daemons that send statements to the member
     * @param nowNanos the time
     */
    public void refresh(int neighbours, int otherDaemons, long nowNanos) {
        reports.values().removeIf(report -> nowNanos - report.observedNanos() >= MAXIMUM_REPORT_AGE_NANOS);
        double weight = INITIAL_WEIGHT + own.answers(nowNanos);
        double services =
                INITIAL_WEIGHT * CapacityEstimator.INITIAL_SERVICE_MILLIS + own.answers(nowNanos) * own.serviceMillis();
        double knees = INITIAL_WEIGHT * slots + own.answers(nowNanos) * own.knee();
        double reportedAnswers = 0;
        for (ReceivedReport received : reports.values()) {
            CapacityReport report = received.report();
            double age = Math.max(0, nowNanos - received.observedNanos()) / NANOS_PER_SECOND;
            double answers = report.answers() * Math.exp(-age / CapacityEstimator.ANSWER_WEIGHT_SECONDS);
            weight += answers;
            services += answers * report.serviceMillis();
            knees += answers * (report.knee() > 0 ? Math.max(1, Math.min(slots, report.knee())) : slots);
            reportedAnswers += report.answers();
        }
        serviceMillis = services / weight;
        knee = knees / weight;
        othersPerSecond = reportedAnswers
                / CapacityEstimator.ANSWER_WEIGHT_SECONDS
                / Math.max(1, Math.max(neighbours, reports.size()))
                * otherDaemons;
    }

    /** Returns the combined time of a statement without other work on the member, in milliseconds. */
    public double serviceMillis() {
        return serviceMillis;
    }

    /** Returns the combined number of statements in flight beyond which answers only get slower. */
    public double knee() {
        return knee;
    }

    /**
     * Returns the expected number of statements of all daemons that the member is running or has queued.
     *
     * @param running those of this daemon
     * @param nowNanos the time
     */
    public double inFlight(int running, long nowNanos) {
        return running
                + othersPerSecond
                        * (serviceMillis + own.waitingMillis(own.serviceMillis(), nowNanos))
                        / MILLIS_PER_SECOND;
    }

    /**
     * Returns the expected time until the member answers one more statement, in milliseconds. One daemon of many seldom
     * has a statement in flight at a member; one that has not been answered yet is the first sign that the member has
     * become slow, before any answer shows it.
     *
     * @param running the statements of this daemon that the member is running or has queued
     * @param nowNanos the time
     */
    public double expectedMillis(int running, long nowNanos) {
        double ahead = running + othersPerSecond * serviceMillis / MILLIS_PER_SECOND;
        double unobserved = serviceMillis * Math.max(1, (1 + ahead) / knee);
        return (unobserved + own.waitingMillis(serviceMillis, nowNanos)) * (1 + running);
    }

    /** Returns the expected number of statements in flight as a multiple of the knee. */
    public double utilization(int running, long nowNanos) {
        return inFlight(running, nowNanos) / knee;
    }

    /** Returns what this daemon has learned from its own answers. */
    public CapacityReport report(int running, long nowNanos) {
        return own.report(running, nowNanos);
    }
}
