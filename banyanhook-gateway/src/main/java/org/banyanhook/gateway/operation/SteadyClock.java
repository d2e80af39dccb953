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
public final class SteadyClock {

    /** A difference below this is drift or slow scheduling, in milliseconds. */
    private static final long JUMP_MILLIS = 50;

    private final LongSupplier steadyNanos;
    private final LongSupplier timeOfDayMillis;
    private final List<Runnable> jumpListeners = new ArrayList<>();
    private long offsetMillis;

    /**
     * Creates a clock.
     *
     * @param steadyNanos the monotonic clock in nanoseconds
     * @param timeOfDayMillis the time of day in milliseconds
     */
    public SteadyClock(LongSupplier steadyNanos, LongSupplier timeOfDayMillis) {
        this.steadyNanos = steadyNanos;
        this.timeOfDayMillis = timeOfDayMillis;
        this.offsetMillis = offset(steadyNanos.getAsLong());
    }

    /** Creates a clock over those of the machine. */
    public static SteadyClock ofMachine() {
        return new SteadyClock(System::nanoTime, System::currentTimeMillis);
    }

    /** Adds what to call when the machine may have been suspended. */
    public void onJump(Runnable listener) {
        jumpListeners.add(listener);
    }

    /** Returns the monotonic time in nanoseconds, after telling the listeners of a suspension if there was one. */
    public long nowNanos() {
        long now = steadyNanos.getAsLong();
        long offset = offset(now);
        if (Math.abs(offset - offsetMillis) > JUMP_MILLIS) {
            offsetMillis = offset;
            jumpListeners.forEach(Runnable::run);
        }
        return now;
    }

    private long offset(long nowNanos) {
        return timeOfDayMillis.getAsLong() - TimeUnit.NANOSECONDS.toMillis(nowNanos);
    }
}
