package org.banyanhook.gateway.backend;

import java.util.OptionalLong;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.banyanhook.core.retry.RetryBudget;
import org.banyanhook.core.scheduling.BusyRetry;
import org.banyanhook.gateway.operation.GatewayMetrics;

/** The retries of statements that the overloaded primary of a group did not run. Used on the event loop only. */
public final class BusyRetries {

    /** The delay, and the highest number of attempts, where all routes have the same priority. */
    private static final long FIXED_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

    private static final int MAXIMUM_FIXED_ATTEMPTS = 5;

    /** One retry for each first attempt, so that retries do not outnumber them. */
    private static final double RETRIES_PER_FIRST_ATTEMPT = 1;

    private static final double MAXIMUM_SAVED_RETRIES = 10;

    private final String group;
    private final BooleanSupplier backsOff;
    private final GatewayMetrics metrics;
    private final RetryBudget budget = new RetryBudget(RETRIES_PER_FIRST_ATTEMPT, MAXIMUM_SAVED_RETRIES);

    BusyRetries(String group, BooleanSupplier backsOff, GatewayMetrics metrics) {
        this.group = group;
        this.backsOff = backsOff;
        this.metrics = metrics;
    }

    /** Records the first attempt of a statement at the primary. */
    public void recordFirstAttempt() {
        if (backsOff.getAsBoolean()) {
            budget.recordRequest(group);
        }
    }

    /**
     * Decides on a retry.
     *
     * @param attempts how often the statement was sent
     * @param remainingNanos the time left until it times out
     * @return the delay before the next attempt in nanoseconds, or empty if it has to be refused as not run
     */
    public OptionalLong delayNanos(int attempts, long remainingNanos) {
        if (!backsOff.getAsBoolean()) {
            return attempts >= MAXIMUM_FIXED_ATTEMPTS ? OptionalLong.empty() : OptionalLong.of(FIXED_DELAY_NANOS);
        }
        BusyRetry.Decision decision = BusyRetry.decide(
                Math.max(0, attempts - 1),
                remainingNanos,
                ThreadLocalRandom.current().nextDouble(),
                () -> budget.tryAcquireRetry(group));
        metrics.count("primary.busy.retries", "decision", decision.reason().name());
        return decision.retries() ? OptionalLong.of(decision.delayNanos()) : OptionalLong.empty();
    }
}
