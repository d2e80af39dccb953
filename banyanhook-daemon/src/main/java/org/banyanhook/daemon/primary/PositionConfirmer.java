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
}
