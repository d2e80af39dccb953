package org.banyanhook.daemon.primary;

import org.banyanhook.core.primary.BelievedPrimary;

/** Takes what other daemons should hear of. */
interface PrimaryChangeListener {
    /**
     * A member became primary.
     *
     * @param database the name of the database
     * @param primary the new primary
     */
    void onPromoted(String database, BelievedPrimary primary);

    /**
     * A planned move begins; no new work should be sent to the primary for a short time.
     *
     * @param database the name of the database
     * @param term the term of the primary
     */
    void onHold(String database, long term);
}
