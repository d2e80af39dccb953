package org.banyanhook.daemon.primary;

import java.util.Optional;
import org.banyanhook.core.replication.LogPosition;

/** Knows the primary of each database group and where its members stand. Safe for several threads; never blocks. */
public interface PrimaryDirectory {
    /** Returns the believed primary of a database, or empty while none is known. */
    Optional<PrimaryView> primary(String database);

    /**
     * Chooses a replica that may serve a read.
     *
     * @param database the name of the database
     * @param minimumPosition the place that the session must see
     * @param maximumAgeMillis the age that the data may have, over 0
     * @return the name of the replica, or empty if only the primary may serve
     */
    Optional<String> selectReplica(String database, LogPosition minimumPosition, long maximumAgeMillis);

    /**
     * Tells how old the data of a member at most is, by this daemon's clock.
     *
     * @param database the name of the database
     * @param position where the member stood when it answered
     * @return the bound in milliseconds, {@link Long#MAX_VALUE} if there is none
     */
    long ageBoundMillis(String database, LogPosition position);

    /**
     * Takes the outcome of a request to a member as evidence.
     *
     * @param database the name of the database
     * @param member the name of the backend server
     * @param reachable false if the member did not answer
     * @param observedTerm the term that the member answered with, 0 if none
     */
    void reportRequestOutcome(String database, String member, boolean reachable, long observedTerm);

    /**
     * Tells how long the oldest commit has been waiting for its majority, as a measure for admission.
     *
     * @param database the name of the database
     * @return the wait in milliseconds, 0 if no commit waits
     */
    default long confirmationDelayMillis(String database) {
        return 0;
    }
}
