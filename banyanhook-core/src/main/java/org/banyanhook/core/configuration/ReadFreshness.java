package org.banyanhook.core.configuration;

/** What the data of a read must contain. */
public enum ReadFreshness {
    /** Every commit that was acknowledged before the read. */
    CURRENT,
    /** Every commit that was acknowledged longer ago than the allowed age. */
    BOUNDED_AGE,
    /** Like {@link #BOUNDED_AGE}, and every commit of the same session. */
    OWN_WRITES
}
