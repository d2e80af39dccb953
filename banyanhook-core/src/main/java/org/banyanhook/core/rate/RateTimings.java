package org.banyanhook.core.rate;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * The durations of allotment leases, reclaims and lent tokens, in nanoseconds.
 *
 * @param leaseNanos how long after its last two-way contact a holder may accrue and spend tokens
 * @param reclaimDelayNanos how long a marked holder's lease must not have been renewed before its allotment is
 *     reclaimed; greater than {@code leaseNanos} by more than any clock drift
 * @param unlistedDelayNanos how long a holder must be missing from the platform's list before it is marked
 * @param borrowedTokenLifetimeNanos how long a borrowed token can be spent, counted from the request for it
 * @param lentReservationNanos how long the lender's bucket reserves the capacity of a lent token; greater than
 *     {@code borrowedTokenLifetimeNanos} by more than any clock drift
 */
public record RateTimings(
        long leaseNanos,
        long reclaimDelayNanos,
        long unlistedDelayNanos,
        long borrowedTokenLifetimeNanos,
        long lentReservationNanos) {

    /** The default timings. */
    public static final RateTimings DEFAULT = new RateTimings(
            Duration.ofSeconds(10).toNanos(),
            Duration.ofSeconds(15).toNanos(),
            Duration.ofSeconds(30).toNanos(),
            Duration.ofMillis(200).toNanos(),
            Duration.ofMillis(250).toNanos());

    public RateTimings {
        checkArgument(leaseNanos > 0, "leaseNanos must be positive, was %s", leaseNanos);
        checkArgument(
                reclaimDelayNanos > leaseNanos,
                "reclaimDelayNanos must be greater than leaseNanos, was %s",
                reclaimDelayNanos);
        checkArgument(unlistedDelayNanos >= 0, "unlistedDelayNanos must not be negative, was %s", unlistedDelayNanos);
        checkArgument(
                borrowedTokenLifetimeNanos > 0,
                "borrowedTokenLifetimeNanos must be positive, was %s",
                borrowedTokenLifetimeNanos);
        checkArgument(
                lentReservationNanos > borrowedTokenLifetimeNanos,
                "lentReservationNanos must be greater than borrowedTokenLifetimeNanos, was %s",
                lentReservationNanos);
    }
}
