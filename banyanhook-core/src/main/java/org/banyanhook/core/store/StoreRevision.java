package org.banyanhook.core.store;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The revision of a record of the store. A store that is restored from an older copy counts its revisions from there
 * again, under a new era; revisions are therefore ordered by era first.
 *
 * @param era how often the store has been restored, or 0 where it does not say
 * @param number the number of the change within the era, or 0 for a record that does not exist
 */
public record StoreRevision(long era, long number) implements Comparable<StoreRevision> {

    /** Precedes every change of a store. */
    public static final StoreRevision NONE = new StoreRevision(0, 0);

    /** The number of low bits of a fencing token that hold the number of the change. */
    private static final int NUMBER_BITS = 40;

    /** The number of bits that a JSON number represents exactly. */
    private static final int TOKEN_BITS = 53;

    public StoreRevision {
        checkArgument(era >= 0, "era must not be negative, was %s", era);
        checkArgument(number >= 0, "number must not be negative, was %s", number);
    }

    /**
     * Returns the fencing token of a lease whose record was written at this revision. A token of a later revision is
     * higher, also across eras, and no two revisions have the same token.
     *
     * @return the token, at most 2^53 - 1
     * @throws IllegalStateException if the revision exceeds the range of tokens
     */
    public long fencingToken() {
        if (era == 0) {
            return number;
        }
        if (number >= 1L << NUMBER_BITS || era >= 1L << (TOKEN_BITS - NUMBER_BITS)) {
            throw new IllegalStateException("revision " + this + " exceeds the range of fencing tokens");
        }
        return (era << NUMBER_BITS) + number;
    }

    /**
     * Returns the revision of a fencing token.
     *
     * @param token the token, at least 0
     */
    public static StoreRevision ofFencingToken(long token) {
        return new StoreRevision(token >>> NUMBER_BITS, token & ((1L << NUMBER_BITS) - 1));
    }

    /** Returns whether this revision is of a later change than another one. */
    public boolean isAfter(StoreRevision other) {
        return compareTo(other) > 0;
    }

    @Override
    public int compareTo(StoreRevision other) {
        int byEra = Long.compare(era, other.era);
        return byEra != 0 ? byEra : Long.compare(number, other.number);
    }

    @Override
    public String toString() {
        return era + "/" + number;
    }
}
