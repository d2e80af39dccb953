package org.banyanhook.daemon.primary;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.banyanhook.core.replication.LogPosition;

/** Confirms that a log position can no longer be lost. Implementations are thread-safe and never block. */
@FunctionalInterface
public interface PositionConfirmer {
    /**
     * Confirms a position once a majority of the group's members are in its term and have reached it, according to
     * status reads that were started after this call.
     *
     * @param database the name of the database
     * @param position the log position of the commit or of the data read
     * @param timeout the maximum time to wait
     * @return a future that completes once confirmed, or fails with a
     *     {@link org.banyanhook.core.error.RefusalException} otherwise
     */
    CompletableFuture<Void> confirm(String database, LogPosition position, Duration timeout);

    /**
     * Returns whether a position is already known to be on a majority of the members, so that it can no longer be lost.
     * This does not rule out a later primary, so it suffices for reads that accept a data age, but neither for writes
     * nor for current reads.
     *
     * @param database the name of the database
     * @param position the log position of the data read
     * @return true if known; no member is queried
     */
    default boolean isDurable(String database, LogPosition position) {
        return false;
    }
}
