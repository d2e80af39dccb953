package org.banyanhook.core.rate;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * How long rights and loans last, in nanoseconds.
 *
 * @param leaseNanos how long after its last two-way contact a holder may accrue and spend
 * @param reclaimDelayNanos how long a marked holder must have been silent before its allotment is taken back; over
 *     {@code contactNanos} by more than any drift of clocks
 * @param unlistedDelayNanos how long the platform's list must have lacked a holder before it is marked
 * @param borrowedTokenLifetimeNanos how long after the request for it a borrowed token can be spent
 * @param lentReservationNanos how long after lending a token its room in the lender's bucket stays empty; over
 *     {@code borrowedNanos} by more than any drift of clocks
 */
public record RateTimings(
        long leaseNanos,
        long reclaimDelayNanos,
        long unlistedDelayNanos,
        long borrowedTokenLifetimeNanos,
        long lentReservationNanos) {

    /** The timings of a fleet in service. */
    public static final RateTimings DEFAULT = new RateTimings(
            Duration.ofSeconds(10).toNanos(),
            Duration.ofSeconds(15).toNanos(),
            Duration.ofSeconds(30).toNanos(),
            Duration.ofMillis(200).toNanos(),
            Duration.ofMillis(250).toNanos());

    public RateTimings {
        checkArgument(leaseNanos > 0, "contactNanos must be positive, was %s", leaseNanos);
        checkArgument(
                reclaimDelayNanos > leaseNanos, "reclaimNanos must be over contactNanos, was %s", reclaimDelayNanos);
        checkArgument(unlistedDelayNanos >= 0, "listLagNanos must not be negative, was %s", unlistedDelayNanos);
        checkArgument(
                borrowedTokenLifetimeNanos > 0, "borrowedNanos must be positive, was %s", borrowedTokenLifetimeNanos);
        checkArgument(
                lentReservationNanos > borrowedTokenLifetimeNanos,
                "lentNanos must be over borrowedNanos, was %s",
                lentReservationNanos);
    }
}
