package org.banyanhook.daemon.execution;

import org.banyanhook.core.configuration.BackendServer;

/** Tells which backend servers may get new work. Safe for use by several threads; never blocks. */
@FunctionalInterface
public interface MemberAvailability {
    /**
     * Tells whether a backend server may get new work.
     *
     * @param member the backend server
     * @param asPrimary true if it would work as the primary, which a planned move takes a moment to replace
     * @return true if it may
     */
    boolean acceptsRequests(BackendServer member, boolean asPrimary);
}
