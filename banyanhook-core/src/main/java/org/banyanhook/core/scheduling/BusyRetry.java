package org.banyanhook.core.scheduling;

import java.util.function.BooleanSupplier;

/**
 * Decides when a statement that an overloaded primary did not run is sent again.
 *
 * <p>Load: a primary with a full queue refuses statements of all daemons at the same time; retries after a fixed delay
 * arrive together and fill the queue again.
 */
public final class BusyRetry {

    /** About the time in which a member with 4 slots runs 16 statements of 5 ms. */
    private static final long FIRST_DELAY_NANOS = 20_000_000;

    /** Keeps several retries possible within the statement timeouts, which begin at 800 ms. */
    private static final long MAXIMUM_DELAY_NANOS = 320_000_000;

    /** A retry with less time left than this could not be answered. */
    private static final long MINIMUM_TIME_AFTER_DELAY_NANOS = 20_000_000;

    private BusyRetry() {}

    /** The reason for a decision. */
    public enum Reason {
        /** The statement is sent again after the delay. */
        RETRY,
        /** The time left is too short for another attempt. */
        NO_TIME,
        /** Retries would outnumber first attempts. */
        BUDGET_EXHAUSTED
    }

    /**
     * A decision.
     *
     * @param reason the reason
     * @param delayNanos the delay before the retry, 0 without one
     */
    public record Decision(Reason reason, long delayNanos) {

        /** Returns whether the statement is sent again. */
        public boolean retries() {
            return reason == Reason.RETRY;
        }
    }

    /**
     * Decides on a retry. The delay doubles with each retry and is drawn from its upper half.
     *
     * @param retriesBefore how often the statement was retried before
     * @param remainingNanos the time left until the statement times out
     * @param draw a random value from 0 to 1
     * @param acquireRetry takes a retry from the budget of the group; called at most once
     * @return the decision
     */
    public static Decision decide(int retriesBefore, long remainingNanos, double draw, BooleanSupplier acquireRetry) {
        long full = Math.min(MAXIMUM_DELAY_NANOS, FIRST_DELAY_NANOS << Math.min(retriesBefore, 10));
        long delay = (long) (full * (1 + draw) / 2);
        if (remainingNanos - delay < MINIMUM_TIME_AFTER_DELAY_NANOS) {
            return new Decision(Reason.NO_TIME, 0);
        }
        return acquireRetry.getAsBoolean()
                ? new Decision(Reason.RETRY, delay)
                : new Decision(Reason.BUDGET_EXHAUSTED, 0);
    }
}
