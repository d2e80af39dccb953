package org.banyanhook.daemon.execution;

import org.banyanhook.core.configuration.BackendServer;

/** Decides which backend servers accept new requests. Safe for use by several threads; never blocks. */
@FunctionalInterface
public interface MemberAvailability {
    /**
     * Checks whether a backend server accepts new requests.
     *
     * @param member the backend server
     * @param asPrimary true if it would serve as the primary, which a planned switchover needs some time to replace
     * @return true if it accepts new requests
     */
    boolean acceptsRequests(BackendServer member, boolean asPrimary);
}
