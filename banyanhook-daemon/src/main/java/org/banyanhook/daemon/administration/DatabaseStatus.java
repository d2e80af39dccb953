package org.banyanhook.daemon.administration;

import java.util.Optional;

/** Tells which backend server is believed primary. Must be safe for use by several threads and not block. */
@FunctionalInterface
public interface DatabaseStatus {
    /**
     * Returns the primary of a database as this entry VM believes.
     *
     * @param database the name of the database
     * @return the primary, or empty while none is known
     */
    Optional<Primary> primaryOf(String database);

    /**
     * A primary as believed.
     *
     * @param backendServer the name of the backend server
     * @param term its term
     */
    record Primary(String backendServer, long term) {}
}
