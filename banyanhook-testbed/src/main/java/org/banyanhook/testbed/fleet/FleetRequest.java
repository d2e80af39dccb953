package org.banyanhook.testbed.fleet;

import com.fasterxml.jackson.annotation.JsonInclude;
import org.jspecify.annotations.Nullable;

/**
 * A statement as a caller sends it.
 *
 * @param route the route
 * @param database the database
 * @param statement the text
 * @param deadlineMillis the deadline, or null for the daemon's default
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record FleetRequest(
        String route,
        String database,
        String statement,
        @Nullable Long deadlineMillis) {

    /** Returns a request with the daemon's default deadline. */
    public static FleetRequest of(String route, String database, String statement) {
        return new FleetRequest(route, database, statement, null);
    }
}
