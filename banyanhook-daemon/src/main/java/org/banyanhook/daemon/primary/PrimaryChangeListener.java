package org.banyanhook.daemon.primary;

import org.banyanhook.core.primary.KnownPrimary;

/** Receives changes of primaries that have to be announced to other daemons. */
interface PrimaryChangeListener {
    /**
     * Handles the promotion of a member.
     *
     * @param database the name of the database
     * @param primary the new primary
     */
    void onPromoted(String database, KnownPrimary primary);

    /**
     * Handles the start of a planned switchover, during which new requests to the primary are held for a short time.
     *
     * @param database the name of the database
     * @param term the term of the current primary
     */
    void onHold(String database, long term);
}
