package org.banyanhook.testbed.fleet;

import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.banyanhook.testbed.http.JsonAnswer;
import org.banyanhook.testbed.http.JsonClient;
import org.jspecify.annotations.Nullable;

/** Sends statements as a client account would. Immutable and safe for use by several threads. */
public final class FleetCaller {

    /** The header that carries the session. */
    public static final String SESSION_HEADER = "banyanhook-session";

    private final JsonClient client;
    private final String service;
    private final String key;

    FleetCaller(JsonClient client, String service, String key) {
        this.client = client;
        this.service = service;
        this.key = key;
    }

    /** Sends a statement without a session or idempotency key. */
    public CompletableFuture<JsonAnswer> send(EntryVmProcess entryVm, FleetRequest request) {
        return send(entryVm, request, null, null);
    }

    /**
     * Sends a statement.
     *
     * @param entryVm the daemon to send it to
     * @param request the statement
     * @param session the last session value, or null for a new session
     * @param idempotencyKey the idempotency key, or null for none
     * @return the answer; failed if none came
     */
    public CompletableFuture<JsonAnswer> send(
            EntryVmProcess entryVm, FleetRequest request, @Nullable String session, @Nullable String idempotencyKey) {
        Map<String, String> headers = new HashMap<>();
        headers.put("Authorization", "Bearer " + key);
        if (session != null) {
            headers.put("Banyanhook-Session", session);
        }
        if (idempotencyKey != null) {
            headers.put("Idempotency-Key", idempotencyKey);
        }
        return client.call(entryVm.callers(), "POST", "/v1/services/" + service + "/statements", request, headers);
    }

    /** Turns a failed call into an answer of status 0. */
    public static JsonAnswer unreachable(Throwable failure) {
        return new JsonAnswer(0, MissingNode.getInstance(), Map.of("failure", String.valueOf(failure.getMessage())));
    }
}
