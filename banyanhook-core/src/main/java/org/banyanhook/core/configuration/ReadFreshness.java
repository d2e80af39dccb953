package org.banyanhook.core.configuration;

/** The commits that the data of a read must contain. */
public enum ReadFreshness {
    /** Every commit that was acknowledged before the read. */
    CURRENT,
    /** Every commit that was acknowledged longer ago than the maximum age. */
    BOUNDED_AGE,
    /** Like {@link #BOUNDED_AGE}, and every commit of the same session. */
    OWN_WRITES
}
