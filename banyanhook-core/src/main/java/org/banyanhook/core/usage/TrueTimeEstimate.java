package org.banyanhook.core.usage;

import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * Estimates true time as the median of the offsets between the own monotonic clock and the wall clocks of several
 * daemons. The wall clocks of a minority may be wrong, or step, by any amount. Not thread-safe.
 */
public final class TrueTimeEstimate {

    /** The median of this many samples is right although two clocks are wrong. */
    private static final int SUFFICIENT_SAMPLES = 5;

    /** Daemons are asked several times within this time; one that is silent for longer has ended. */
    private static final long RETENTION_NANOS = Duration.ofSeconds(60).toNanos();

    /** A sample with a short round trip is preferred over newer ones for this long. */
    private static final long PREFERENCE_NANOS = Duration.ofSeconds(25).toNanos();

    /** A round trip longer by more than this was held up on its way, possibly in one direction only. */
    private static final long HELD_UP_NANOS = Duration.ofMillis(20).toNanos();

    private static final long NANOS_PER_MILLISECOND = 1_000_000;

    private static final String OWN = "";

    private Map<String, Sample> samples = new HashMap<>();
    private Map<String, Sample> formerSamples = new HashMap<>();
    private long offsetMillis;

    private record Sample(long offsetMillis, long roundTripNanos, long receivedNanos) {}

    /**
     * Creates an estimate from the own wall clock.
     *
     * @param nowNanos the own monotonic time
     * @param wallMillis the own wall-clock time
     */
    public TrueTimeEstimate(long nowNanos, long wallMillis) {
        readOwnClock(nowNanos, wallMillis);
    }

    /** Returns the estimate for a reading of the own monotonic clock, in milliseconds since the start of 1970. */
    public long trueMillis(long nowNanos) {
        return toMillis(nowNanos) + offsetMillis;
    }

    /** Returns whether more than the own wall clock is known, so that a single wrong clock does no harm. */
    public boolean isConfirmed() {
        return active().size() >= SUFFICIENT_SAMPLES;
    }

    /**
     * Reads the own wall clock, and drops the samples of daemons that have ended.
     *
     * @param nowNanos the own monotonic time
     * @param wallMillis the own wall-clock time
     */
    public void readOwnClock(long nowNanos, long wallMillis) {
        samples.put(OWN, new Sample(wallMillis - toMillis(nowNanos), 0, nowNanos));
        samples.values().removeIf(sample -> nowNanos - sample.receivedNanos > RETENTION_NANOS);
        update();
    }

    /**
     * Adds the reading of another daemon's wall clock.
     *
     * @param daemon the daemon
     * @param sentNanos the own monotonic time at which it was asked
     * @param receivedNanos the own monotonic time at which the reply arrived
     * @param wallMillis its wall-clock time in the reply
     */
    public void addSample(String daemon, long sentNanos, long receivedNanos, long wallMillis) {
        long roundTripNanos = receivedNanos - sentNanos;
        Sample known = samples.get(daemon);
        if (known != null
                && receivedNanos - known.receivedNanos < PREFERENCE_NANOS
                && roundTripNanos > known.roundTripNanos + HELD_UP_NANOS) {
            return;
        }
        long middleMillis = toMillis(sentNanos + roundTripNanos / 2);
        samples.put(daemon, new Sample(wallMillis - middleMillis, roundTripNanos, receivedNanos));
        update();
    }

    /**
     * Handles a jump between the own clocks: either the wall clock was set, or the machine was suspended and its
     * monotonic clock has missed the time. Other daemons' new samples tell which; until then nothing changes.
     */
    public void onClockJump() {
        if (samples.size() >= formerSamples.size() || samples.size() >= SUFFICIENT_SAMPLES) {
            formerSamples = samples;
        }
        samples = new HashMap<>();
    }

    private Map<String, Sample> active() {
        return samples.size() >= Math.min(SUFFICIENT_SAMPLES, formerSamples.size()) ? samples : formerSamples;
    }

    private void update() {
        long[] offsets = active().values().stream()
                .mapToLong(Sample::offsetMillis)
                .sorted()
                .toArray();
        int middle = offsets.length / 2;
        offsetMillis = offsets.length % 2 == 1
                ? offsets[middle]
                : Arrays.stream(offsets, middle - 1, middle + 1).sum() / 2;
    }

    private static long toMillis(long nanos) {
        return Math.floorDiv(nanos, NANOS_PER_MILLISECOND);
    }
}
