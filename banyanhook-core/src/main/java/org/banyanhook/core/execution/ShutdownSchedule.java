package org.banyanhook.core.execution;

import com.google.common.base.Preconditions;
import java.time.Duration;

/**
 * The steps of a planned stop within its grace period. Immutable.
 *
 * <p>Load pattern: a process is stopped while callers hold connections with open transactions, and go on using them
 * until the process is gone. A statement that is passed on so late that its answer may not arrive in time is cut off
 * without an answer; refused at once, its caller can run the transaction elsewhere.
 */
public final class ShutdownSchedule {

    /** Readiness is withdrawn this long before sessions are closed, so that the load balancer has checked it twice. */
    private static final long READINESS_WITHDRAWAL_MILLIS = 2_200;

    /** The part of the grace period that is reserved for the end of the process. */
    private static final long MARGIN_MILLIS = 700;

    private final long startNanos;
    private final long graceMillis;

    private ShutdownSchedule(long startNanos, long graceMillis) {
        this.startNanos = startNanos;
        this.graceMillis = graceMillis;
    }

    /**
     * Creates the schedule of a stop that begins now.
     *
     * @param nowNanos the time
     * @param graceMillis the time after which the process is killed; not negative
     * @return the schedule
     */
    public static ShutdownSchedule startingAt(long nowNanos, long graceMillis) {
        Preconditions.checkArgument(graceMillis >= 0, "the grace period is negative: %s", graceMillis);
        return new ShutdownSchedule(nowNanos, graceMillis);
    }

    /** Returns how long after the start inactive sessions are closed, in milliseconds. */
    public long closeSessionsAfterMillis() {
        return Math.min(READINESS_WITHDRAWAL_MILLIS, endAfterMillis() / 2);
    }

    /** Returns when the process ends even if sessions are active. */
    public long endNanos() {
        return startNanos + Duration.ofMillis(endAfterMillis()).toNanos();
    }

    /**
     * Returns whether a statement can be expected to be answered before the process ends. In the first half of the
     * grace period every statement may run, so that transactions which are open at its start can be completed.
     *
     * @param nowNanos the time
     * @param statementTimeoutNanos the longest time that the statement may take
     */
    public boolean leavesTimeFor(long nowNanos, long statementTimeoutNanos) {
        boolean firstHalf =
                nowNanos - startNanos < Duration.ofMillis(graceMillis).toNanos() / 2;
        return firstHalf || nowNanos + statementTimeoutNanos - endNanos() <= 0;
    }

    private long endAfterMillis() {
        return Math.max(0, graceMillis - MARGIN_MILLIS);
    }
}
