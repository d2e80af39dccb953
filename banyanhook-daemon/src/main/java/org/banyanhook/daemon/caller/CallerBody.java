package org.banyanhook.daemon.caller;

import org.jspecify.annotations.Nullable;

/**
 * The fields of a request's body, each null if not sent.
 *
 * @param route the name of the route
 * @param database the name of the database
 * @param partitionKey a key that maps to a database
 * @param statement the text of the statement
 * @param deadlineMillis how long the caller waits
 */
record CallerBody(
        @Nullable String route,
        @Nullable String database,
        @Nullable String partitionKey,
        @Nullable String statement,
        @Nullable Long deadlineMillis) {}
