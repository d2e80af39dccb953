package org.banyanhook.gateway.primary;

/** Tells whether this daemon would have heard of a replaced primary. */
@FunctionalInterface
public interface PrimaryContact {
    /** Returns whether the primary that is believed may be used. */
    boolean mayUsePrimaries();
}
