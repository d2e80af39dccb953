package org.banyanhook.daemon.backend;

import org.banyanhook.core.replication.LogPosition;

/**
 * The whole answer of a backend server to one request.
 *
 * @param term the term that the server was in
 * @param position where its log stood
 * @param resultJson the result as JSON text, {@code null} in JSON if the request has none
 * @param replayed true if the server returned the outcome recorded under the idempotency key
 * @param found false if no outcome is recorded under the key that was asked for
 */
public record BackendResponse(long term, LogPosition position, String resultJson, boolean replayed, boolean found) {}
