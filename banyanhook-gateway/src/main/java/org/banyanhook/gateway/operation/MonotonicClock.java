package org.banyanhook.gateway.operation;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The monotonic clock, which also notices that the machine was suspended.
 *
 * <p>The monotonic clock does not count a suspension, and the time of day does. Where the two drift apart by a jump,
 * what was known before may be older than the monotonic clock says, and the listeners drop it. A step of the time of
 * day looks the same and costs no more than what is learned again. Used on the event loop only.
 */
public final class MonotonicClock {

    /** A difference below this is drift or slow scheduling, in milliseconds. */
    private static final long JUMP_THRESHOLD_MILLIS = 50;

    private final LongSupplier monotonicNanos;
    private final LongSupplier wallClockMillis;
    private final List<Runnable> jumpListeners = new ArrayList<>();
    private long offsetMillis;

    /**
     * Creates a clock.
     *
     * @param monotonicNanos the monotonic clock in nanoseconds
     * @param wallClockMillis the time of day in milliseconds
     */
    public MonotonicClock(LongSupplier monotonicNanos, LongSupplier wallClockMillis) {
        this.monotonicNanos = monotonicNanos;
        this.wallClockMillis = wallClockMillis;
        this.offsetMillis = computeOffsetMillis(monotonicNanos.getAsLong());
    }

    /** Creates a clock over those of the machine. */
    public static MonotonicClock ofSystem() {
        return new MonotonicClock(System::nanoTime, System::currentTimeMillis);
    }

    /** Adds what to call when the machine may have been suspended. */
    public void addJumpListener(Runnable listener) {
        jumpListeners.add(listener);
    }

    /** Returns the monotonic time in nanoseconds, after telling the listeners of a suspension if there was one. */
    public long nowNanos() {
        long now = monotonicNanos.getAsLong();
        long offset = computeOffsetMillis(now);
        if (Math.abs(offset - offsetMillis) > JUMP_THRESHOLD_MILLIS) {
            offsetMillis = offset;
            jumpListeners.forEach(Runnable::run);
        }
        return now;
    }

    private long computeOffsetMillis(long nowNanos) {
        return wallClockMillis.getAsLong() - TimeUnit.NANOSECONDS.toMillis(nowNanos);
    }
}
