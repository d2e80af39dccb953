package org.banyanhook.daemon.execution;

import org.banyanhook.core.replication.LogPosition;

/**
 * The outcome of a statement.
 *
 * @param resultJson the result as JSON text
 * @param position the confirmed log position that the session has now seen
 * @param servedBy the name of the backend server
 * @param replica true if a replica served it
 * @param replayed true if the outcome was recorded earlier under the same idempotency key
 * @param ageMillis the upper bound on the age of the data, 0 if it is current
 */
public record StatementOutcome(
        String resultJson, LogPosition position, String servedBy, boolean replica, boolean replayed, long ageMillis) {}
