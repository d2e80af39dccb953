package org.banyanhook.gateway.primary;

/** Tells whether this daemon would have heard of a replaced primary. */
@FunctionalInterface
public interface PrimaryAccessPolicy {
    /**
     * Returns whether the primary of a group that is believed may be used.
     *
     * @param group the database group
     */
    boolean mayUsePrimary(String group);
}
