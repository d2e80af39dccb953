package org.banyanhook.daemon.primary;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.banyanhook.core.replication.LogPosition;

/** Confirms that a position can no longer be lost. Safe for use by several threads; never blocks. */
@FunctionalInterface
public interface PositionConfirmer {
    /**
     * Waits until a majority of the group's members, by status reads that began after this call, are in the term of the
     * position and at or past it.
     *
     * @param database the name of the database
     * @param position the position of the commit or of the data read
     * @param timeout how long to wait
     * @return completed when confirmed; failed with a {@link org.banyanhook.core.error.RefusalException} otherwise
     */
    CompletableFuture<Void> confirm(String database, LogPosition position, Duration timeout);

    /**
     * Tells whether a position is already known to be on a majority, so that it can no longer be lost. It says nothing
     * about later primaries, so it serves reads that may have an age, and neither writes nor current reads.
     *
     * @param database the name of the database
     * @param position the position of the data read
     * @return true if known, without asking any member
     */
    default boolean isDurable(String database, LogPosition position) {
        return false;
    }
}
