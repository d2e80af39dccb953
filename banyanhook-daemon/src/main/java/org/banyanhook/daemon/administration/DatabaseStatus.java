package org.banyanhook.daemon.administration;

import java.util.Optional;

/** Source of the known primaries. Implementations must be safe for use by several threads and not block. */
@FunctionalInterface
public interface DatabaseStatus {
    /**
     * Returns the primary of a database that is known to this entry VM.
     *
     * @param database the name of the database
     * @return the known primary, or empty if none is known
     */
    Optional<Primary> primaryOf(String database);

    /**
     * A known primary.
     *
     * @param backendServer the name of the backend server
     * @param term the term of the primary
     */
    record Primary(String backendServer, long term) {}
}
