package org.banyanhook.daemon.backend;

import org.banyanhook.core.replication.LogPosition;

/**
 * The complete response of a backend server to one request.
 *
 * @param term the term of the server
 * @param position the position of the server's log
 * @param resultJson the result as JSON text; the JSON literal {@code null} if the request has no result
 * @param replayed true if the server returned the outcome that was recorded under the idempotency key
 * @param found false if no outcome is recorded under the requested idempotency key
 */
public record BackendResponse(long term, LogPosition position, String resultJson, boolean replayed, boolean found) {}
