package org.banyanhook.daemon.caller;

import org.jspecify.annotations.Nullable;

/**
 * The parsed fields of a request body or query; a field that was not sent is null.
 *
 * @param route the name of the route
 * @param database the name of the database
 * @param partitionKey the key from which the partition table determines the database
 * @param statement the text of the statement
 * @param deadlineMillis the time for which the caller waits for the reply, in milliseconds
 */
record CallerBody(
        @Nullable String route,
        @Nullable String database,
        @Nullable String partitionKey,
        @Nullable String statement,
        @Nullable Long deadlineMillis) {}
