package org.banyanhook.core.rate;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The token bucket of one client account at one entry VM.
 *
 * <p>Invariant: own tokens plus the capacity reserved for lent tokens never exceed the capacity. A borrowed token
 * expires before its lender's reservation ends. Therefore the tokens of an account that are owned, borrowed or in
 * transit, over all its buckets, never exceed the sum of the capacities. Not safe for use by several threads.
 */
public final class TokenBucket {

    private final List<Loan> lent = new ArrayList<>();
    private final List<Loan> borrowed = new ArrayList<>();
    private long ownMicros;
    private double fractionOfMicro;
    private long capacityMicros;
    private double microsPerNano;
    private long accruedUpToNanos;

    /** Millionths of a token lent or borrowed, and when the loan expires. */
    private record Loan(long micros, long expiryNanos) {}

    /**
     * Creates an empty bucket of capacity 0 that accrues no tokens.
     *
     * @param nowNanos the time on this entry VM's monotonic clock
     */
    public TokenBucket(long nowNanos) {
        this.accruedUpToNanos = nowNanos;
    }

    /**
     * Accrues tokens up to now and removes expired loans.
     *
     * @param nowNanos the time on this entry VM's monotonic clock
     * @param leaseExpiryNanos when the right to accrue ends; no tokens are ever accrued for the time after it
     */
    public void accrue(long nowNanos, long leaseExpiryNanos) {
        lent.removeIf(loan -> nowNanos - loan.expiryNanos() >= 0);
        borrowed.removeIf(loan -> nowNanos - loan.expiryNanos() >= 0);
        long endNanos = Math.min(nowNanos, leaseExpiryNanos);
        if (endNanos > accruedUpToNanos) {
            double created = (endNanos - accruedUpToNanos) * microsPerNano + fractionOfMicro;
            long accruableMicros = Math.max(0, unreservedCapacityMicros() - ownMicros);
            if (created >= accruableMicros) {
                ownMicros += accruableMicros;
                fractionOfMicro = 0;
            } else {
                ownMicros += (long) created;
                fractionOfMicro = created - (long) created;
            }
        }
        accruedUpToNanos = Math.max(accruedUpToNanos, nowNanos);
    }

    /**
     * Changes rate and capacity. Accrue first. Own tokens in excess of the new capacity are discarded.
     *
     * @param newCapacityMicros the capacity in millionths of a token
     * @param tokensPerSecond the rate at which tokens accrue
     */
    public void setLimit(long newCapacityMicros, double tokensPerSecond) {
        checkArgument(newCapacityMicros >= 0, "capacity must not be negative, was %s", newCapacityMicros);
        checkArgument(tokensPerSecond >= 0, "rate must not be negative, was %s", tokensPerSecond);
        capacityMicros = newCapacityMicros;
        microsPerNano = tokensPerSecond * Tokens.MICROS_PER_TOKEN / 1e9;
        if (ownMicros >= unreservedCapacityMicros()) {
            ownMicros = Math.max(0, unreservedCapacityMicros());
            fractionOfMicro = 0;
        }
    }

    /** Discards all own tokens; loans remain until they expire. */
    public void clearOwnTokens() {
        ownMicros = 0;
        fractionOfMicro = 0;
    }

    /**
     * Spends tokens, borrowed tokens first. Accrue first.
     *
     * @param micros millionths of a token
     * @param ownUsable whether own tokens may be spent
     * @return whether enough tokens were available; if not, the bucket does not change
     */
    public boolean spend(long micros, boolean ownUsable) {
        if (availableMicros(ownUsable) < micros) {
            return false;
        }
        long remainingMicros = micros;
        borrowed.sort(Comparator.comparingLong(Loan::expiryNanos));
        while (remainingMicros > 0 && !borrowed.isEmpty()) {
            Loan loan = borrowed.remove(0);
            long spentMicros = Math.min(remainingMicros, loan.micros());
            remainingMicros -= spentMicros;
            if (spentMicros < loan.micros()) {
                borrowed.add(0, new Loan(loan.micros() - spentMicros, loan.expiryNanos()));
            }
        }
        ownMicros -= remainingMicros;
        return true;
    }

    /** Returns the millionths of tokens that can be spent. Accrue first. */
    public long availableMicros(boolean ownUsable) {
        return borrowedMicros() + (ownUsable ? ownMicros : 0);
    }

    /** Returns the millionths of tokens that accrue within a time, if the capacity does not limit them. */
    long accruingMicros(long durationNanos) {
        return (long) (durationNanos * microsPerNano);
    }

    /** Returns the capacity in millionths of a token. */
    public long capacityMicros() {
        return capacityMicros;
    }

    /** Returns the millionths of own tokens. Accrue first. */
    public long ownMicros() {
        return ownMicros;
    }

    /** Returns the millionths of borrowed tokens that are not spent. Accrue first. */
    public long borrowedMicros() {
        return sum(borrowed);
    }

    /**
     * Lends own tokens and reserves their capacity until the given time. Accrue first.
     *
     * @param micros the millionths requested
     * @param reservedUntilNanos when the reservation ends
     * @return the millionths deducted, at most those requested and at most those owned
     */
    public long lend(long micros, long reservedUntilNanos) {
        long lentMicros = Math.min(micros, ownMicros);
        if (lentMicros > 0) {
            ownMicros -= lentMicros;
            lent.add(new Loan(lentMicros, reservedUntilNanos));
        }
        return lentMicros;
    }

    /**
     * Adds tokens that another entry VM lent.
     *
     * @param micros the millionths lent
     * @param expiryNanos when the tokens expire
     */
    public void borrow(long micros, long expiryNanos) {
        if (micros > 0) {
            borrowed.add(new Loan(micros, expiryNanos));
        }
    }

    private long unreservedCapacityMicros() {
        return capacityMicros - sum(lent);
    }

    private static long sum(List<Loan> loans) {
        long sum = 0;
        for (Loan loan : loans) {
            sum += loan.micros();
        }
        return sum;
    }
}
