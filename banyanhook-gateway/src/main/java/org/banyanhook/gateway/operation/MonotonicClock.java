package org.banyanhook.gateway.operation;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * A monotonic clock that detects suspensions of the machine.
 *
 * <p>The time during a suspension is counted by the wall clock, but not by the monotonic clock. If the offset between
 * the two jumps, information from before may be older than the monotonic clock indicates, so that the listeners discard
 * it. A step of the wall clock has the same effect; its only cost is that the information is read again. Confined to
 * the event loop.
 */
public final class MonotonicClock {

    /** Smaller changes of the offset are caused by clock drift or scheduling delays. */
    private static final long JUMP_THRESHOLD_MILLIS = 50;

    private final LongSupplier monotonicNanos;
    private final LongSupplier wallClockMillis;
    private final List<Runnable> jumpListeners = new ArrayList<>();
    private long offsetMillis;
    private boolean hasJumped;
    private long lastJumpNanos;

    /**
     * Creates a clock.
     *
     * @param monotonicNanos the monotonic time in nanoseconds
     * @param wallClockMillis the wall-clock time in milliseconds
     */
    public MonotonicClock(LongSupplier monotonicNanos, LongSupplier wallClockMillis) {
        this.monotonicNanos = monotonicNanos;
        this.wallClockMillis = wallClockMillis;
        this.offsetMillis = computeOffsetMillis(monotonicNanos.getAsLong());
    }

    /** Creates a clock that reads the clocks of the system. */
    public static MonotonicClock ofSystem() {
        return new MonotonicClock(System::nanoTime, System::currentTimeMillis);
    }

    /** Adds a listener that is called when the machine may have been suspended. */
    public void addJumpListener(Runnable listener) {
        jumpListeners.add(listener);
    }

    /** Returns the monotonic time in nanoseconds; first notifies the listeners if a suspension is detected. */
    public long nowNanos() {
        long now = monotonicNanos.getAsLong();
        long offset = computeOffsetMillis(now);
        if (Math.abs(offset - offsetMillis) > JUMP_THRESHOLD_MILLIS) {
            offsetMillis = offset;
            hasJumped = true;
            lastJumpNanos = now;
            jumpListeners.forEach(Runnable::run);
        }
        return now;
    }

    /**
     * Returns whether the machine may have been suspended since a time, so that the time that has passed since then is
     * not known. Reads the clock first, so that a suspension that ended just now is noticed.
     *
     * @param nanos an earlier reading of this clock
     */
    public boolean jumpedSince(long nanos) {
        nowNanos();
        return hasJumped && nanos - lastJumpNanos < 0;
    }

    private long computeOffsetMillis(long nowNanos) {
        return wallClockMillis.getAsLong() - TimeUnit.NANOSECONDS.toMillis(nowNanos);
    }
}
