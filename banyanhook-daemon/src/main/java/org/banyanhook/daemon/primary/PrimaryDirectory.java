package org.banyanhook.daemon.primary;

import java.util.Optional;
import org.banyanhook.core.replication.LogPosition;

/**
 * Provides the known primary of each database group and the state of its members.
 *
 * <p>Implementations are thread-safe and never block.
 */
public interface PrimaryDirectory {
    /** Returns the known primary of a database, or empty if there is none. */
    Optional<PrimaryView> primary(String database);

    /**
     * Selects a replica that may serve a read.
     *
     * @param database the name of the database
     * @param minimumPosition the log position that the replica must have reached
     * @param maximumAgeMillis the maximum age of the data, greater than 0
     * @return the name of the replica, or empty if only the primary may serve the read
     */
    Optional<String> selectReplica(String database, LogPosition minimumPosition, long maximumAgeMillis);

    /**
     * Returns an upper bound of the age of a member's data, by this daemon's clock.
     *
     * @param database the name of the database
     * @param position the log position of the member when it answered
     * @return the bound in milliseconds, or {@link Long#MAX_VALUE} if there is none
     */
    long ageBoundMillis(String database, LogPosition position);

    /**
     * Reports the outcome of a request to a member, as input for failure detection.
     *
     * @param database the name of the database
     * @param member the name of the backend server
     * @param reachable false if the member did not answer
     * @param observedTerm the term in the member's answer, or 0 if none
     */
    void reportRequestOutcome(String database, String member, boolean reachable, long observedTerm);

    /**
     * Returns how long the oldest pending confirmation has been waiting for a majority, as an input for admission
     * control.
     *
     * @param database the name of the database
     * @return the waiting time in milliseconds, or 0 if no confirmation is pending
     */
    default long confirmationDelayMillis(String database) {
        return 0;
    }
}
