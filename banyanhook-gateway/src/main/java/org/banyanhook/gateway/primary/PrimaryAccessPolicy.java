package org.banyanhook.gateway.primary;

/**
 * Decides whether this daemon may use the known primary of a group, that is whether it would have learned of a
 * replacement.
 */
@FunctionalInterface
public interface PrimaryAccessPolicy {
    /**
     * Returns whether the known primary of a group may be used.
     *
     * @param group the database group
     */
    boolean mayUsePrimary(String group);
}
