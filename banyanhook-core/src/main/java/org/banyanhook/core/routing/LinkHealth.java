package org.banyanhook.core.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * What is known of the link to a home: whether it is reachable, and the state of its clock.
 *
 * <p>Load pattern: links that are used less than once a second, of which some stop answering without being closed.
 */
public final class LinkHealth {

    private static final long NANOS_PER_MILLI = 1_000_000;

    /** A write without a transaction is sent only over a link that has answered within this time. */
    private static final long VERIFIED_NANOS = 1_000 * NANOS_PER_MILLI;

    /** With each statement, a link that has been silent for this long is probed. */
    private static final long SILENCE_NANOS = 300 * NANOS_PER_MILLI;

    private static final long PROBE_INTERVAL_NANOS = 300 * NANOS_PER_MILLI;

    /** How long a home is not used for a member after it has refused a lease, because it cannot use the member. */
    private static final long REFUSAL_PAUSE_NANOS = 500 * NANOS_PER_MILLI;

    /** Clocks run apart by far less than a thousandth; older readings are not relied on. */
    private static final long READING_MAXIMUM_AGE_NANOS = 60_000 * NANOS_PER_MILLI;

    private boolean failed;
    private boolean answered;
    private long lastAnswerNanos;
    private boolean probed;
    private long lastProbeNanos;
    private final Map<String, Long> refusalNanosByMember = new HashMap<>();
    private long incarnation;
    private long peerClockNanos;
    private long readNanos;

    /** Returns whether statements for a member may be sent: the link has not failed, and the home has not refused. */
    public boolean isUsable(String member, long nowNanos) {
        Long refusalNanos = refusalNanosByMember.get(member);
        return !failed && (refusalNanos == null || nowNanos - refusalNanos >= REFUSAL_PAUSE_NANOS);
    }

    /** Returns whether the home has never answered. */
    public boolean isUnknown() {
        return !answered;
    }

    /** Returns whether the home has answered so recently that a statement that is not repeated may be sent. */
    public boolean isVerified(long nowNanos) {
        return !failed && answered && nowNanos - lastAnswerNanos < VERIFIED_NANOS;
    }

    /** Returns whether the link is to be probed, because it failed or has been silent. */
    public boolean isProbeDue(long nowNanos) {
        boolean silent = failed || !answered || nowNanos - lastAnswerNanos >= SILENCE_NANOS;
        return silent && (!probed || nowNanos - lastProbeNanos >= PROBE_INTERVAL_NANOS);
    }

    /** Records that the link is being probed. */
    public void recordProbe(long nowNanos) {
        probed = true;
        lastProbeNanos = nowNanos;
    }

    /**
     * Records an answer of the home.
     *
     * @param peerIncarnation the run of the home
     * @param peerNanos its monotonic clock when it answered
     * @param nowNanos the time
     */
    public void recordAnswer(long peerIncarnation, long peerNanos, long nowNanos) {
        failed = false;
        answered = true;
        lastAnswerNanos = nowNanos;
        incarnation = peerIncarnation;
        peerClockNanos = peerNanos;
        readNanos = nowNanos;
    }

    /** Records that the home did not answer, or that the link was closed. */
    public void recordFailure() {
        failed = true;
    }

    /** Records that the home has refused a lease of a connection to a member. */
    public void recordRefusal(String member, long nowNanos) {
        refusalNanosByMember.values().removeIf(nanos -> nowNanos - nanos >= REFUSAL_PAUSE_NANOS);
        refusalNanosByMember.put(member, nowNanos);
    }

    /** Returns the run of the home that the clock was read in. */
    public long incarnation() {
        return incarnation;
    }

    /**
     * Converts a time to the clock of the home. The result is never later than the given time, since the reading was
     * made before its answer arrived.
     *
     * @param timeNanos the time on this daemon's clock
     * @param nowNanos the present time on this daemon's clock
     * @return the time on the clock of the home, or empty if that clock was not read recently
     */
    public OptionalLong toPeerClock(long timeNanos, long nowNanos) {
        if (!answered || nowNanos - readNanos > READING_MAXIMUM_AGE_NANOS) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(peerClockNanos + (timeNanos - readNanos));
    }
}
