package org.banyanhook.gateway.operation;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Tells how long a signal that the process has just received may have been waiting. A signal that is sent while a
 * process is paused, or gets no processor, is received when it runs again, but its sender counts from when it was sent.
 *
 * <p>The clock is read periodically; a long gap between two readings is a pause. Thread-safe.
 */
public final class PauseDetector {

    /** A signal that was sent during a pause is received within this time after it. */
    private static final long DELIVERY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final LongSupplier nowNanos;
    private final long minimumPauseNanos;
    private long lastReadingNanos;
    private boolean hasPaused;
    private long pauseStartNanos;
    private long pauseEndNanos;

    /**
     * Creates a detector.
     *
     * @param nowNanos the monotonic time in nanoseconds, which counts the time of a pause
     * @param intervalMillis the interval at which {@link #read()} is called; a gap of twice this length is a pause
     */
    public PauseDetector(LongSupplier nowNanos, long intervalMillis) {
        this.nowNanos = nowNanos;
        this.minimumPauseNanos = TimeUnit.MILLISECONDS.toNanos(2 * intervalMillis);
        this.lastReadingNanos = nowNanos.getAsLong();
    }

    /**
     * Returns the earliest time at which a signal that is received now can have been sent, as a reading of the
     * monotonic clock: the last reading before a pause that has just ended, else now.
     */
    public synchronized long earliestSendNanos() {
        long now = nowNanos.getAsLong();
        recordGap(now);
        boolean justPaused = hasPaused && now - pauseEndNanos <= DELIVERY_NANOS;
        return justPaused ? pauseStartNanos : now;
    }

    /** Reads the clock and notes a pause since the last reading. */
    public synchronized void read() {
        long now = nowNanos.getAsLong();
        recordGap(now);
        lastReadingNanos = now;
    }

    private void recordGap(long now) {
        if (now - lastReadingNanos >= minimumPauseNanos) {
            hasPaused = true;
            pauseStartNanos = lastReadingNanos;
            pauseEndNanos = now;
        }
    }
}
