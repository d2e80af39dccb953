package org.banyanhook.core.execution;

import com.google.common.base.Preconditions;
import java.time.Duration;

/**
 * The steps of a planned stop within its grace period. Immutable.
 *
 * <p>Load pattern: a process is stopped while callers hold connections with open transactions, and go on using them
 * until the process is gone. A statement that is passed on so late that its answer may not arrive in time is cut off
 * without an answer; refused at once, its caller can run the transaction elsewhere.
 *
 * <p>All steps count from the moment of the request to stop, since the grace period does. A process that is slow to
 * take up the request has less time left.
 */
public final class ShutdownSchedule {

    /** Readiness is withdrawn this long before sessions are closed, so that the load balancer has checked it twice. */
    private static final long READINESS_WITHDRAWAL_MILLIS = 2_200;

    /** The last sixth of the grace period is reserved for the last answers and the end of the process. */
    private static final int SERVICE_PARTS = 6;

    /** The last tenth of the grace period is a reserve for a process that is slow to end. */
    private static final int HALT_PARTS = 10;

    private final long requestedNanos;
    private final long graceNanos;

    private ShutdownSchedule(long requestedNanos, long graceNanos) {
        this.requestedNanos = requestedNanos;
        this.graceNanos = graceNanos;
    }

    /**
     * Creates the schedule of a stop.
     *
     * @param requestedNanos when the stop was requested, which may be some time ago
     * @param graceMillis the time after the request at which the process is killed; not negative
     * @return the schedule
     */
    public static ShutdownSchedule startingAt(long requestedNanos, long graceMillis) {
        Preconditions.checkArgument(graceMillis >= 0, "the grace period is negative: %s", graceMillis);
        return new ShutdownSchedule(
                requestedNanos, Duration.ofMillis(graceMillis).toNanos());
    }

    /** Returns when the stop was requested. */
    public long requestedNanos() {
        return requestedNanos;
    }

    /** Returns when inactive sessions are closed. */
    public long closeSessionsNanos() {
        long withdrawalNanos = Duration.ofMillis(READINESS_WITHDRAWAL_MILLIS).toNanos();
        return requestedNanos + Math.min(withdrawalNanos, serviceNanos() / 2);
    }

    /** Returns when every statement that has no answer yet gets one, and all sessions are closed. */
    public long endOfServiceNanos() {
        return requestedNanos + serviceNanos();
    }

    /** Returns when the process ends even if callers have not received their last answers yet. */
    public long haltNanos() {
        return requestedNanos + graceNanos - graceNanos / HALT_PARTS;
    }

    /**
     * Returns whether a statement can be expected to be answered before the end of service. In the first half of the
     * grace period every statement may run, so that transactions which are open at its start can be completed.
     *
     * @param nowNanos the time
     * @param statementTimeoutNanos the longest time that the statement may take
     */
    public boolean leavesTimeFor(long nowNanos, long statementTimeoutNanos) {
        boolean firstHalf = nowNanos - requestedNanos < graceNanos / 2;
        return firstHalf || nowNanos + statementTimeoutNanos - endOfServiceNanos() <= 0;
    }

    private long serviceNanos() {
        return graceNanos - graceNanos / SERVICE_PARTS;
    }
}
