package org.banyanhook.daemon.backend;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import org.jspecify.annotations.Nullable;

/**
 * A request to a backend server. Headers of a caller's request are never forwarded.
 *
 * @param method the HTTP method
 * @param path the path, including the query
 * @param body the JSON body, or null if the request has none
 */
public record BackendRequest(
        String method, String path, @Nullable ObjectNode body) {

    private static final String POST = "POST";

    /**
     * An idempotency key, scoped to a client account.
     *
     * @param account the name of the client account
     * @param key the key that the caller sent
     */
    public record IdempotencyKey(String account, String key) {}

    /**
     * Creates a request that runs a single statement outside a transaction.
     *
     * @param term the term that the server must have accepted
     * @param statement the text of the statement
     * @param write true if the statement may change data
     * @param idempotency the key under which the server records the outcome, or null
     * @return the request
     */
    public static BackendRequest statement(
            long term, String statement, boolean write, @Nullable IdempotencyKey idempotency) {
        ObjectNode body =
                newObject().put("term", term).put("statement", statement).put("write", write);
        return new BackendRequest(POST, "/statements", withIdempotency(body, idempotency));
    }

    /** Creates a request that begins a transaction in a term. */
    public static BackendRequest begin(long term) {
        return new BackendRequest(POST, "/transactions", newObject().put("term", term));
    }

    /** Creates a request that runs a statement in the connection's transaction. */
    public static BackendRequest transactionStatement(String statement, boolean write) {
        ObjectNode body = newObject().put("statement", statement).put("write", write);
        return new BackendRequest(POST, "/transactions/statements", body);
    }

    /** Creates a request that commits the connection's transaction in a term. */
    public static BackendRequest commit(long term, @Nullable IdempotencyKey idempotency) {
        return new BackendRequest(
                POST, "/transactions/commit", withIdempotency(newObject().put("term", term), idempotency));
    }

    /** Creates a request that rolls back the connection's transaction. */
    public static BackendRequest rollback() {
        return new BackendRequest(POST, "/transactions/rollback", newObject());
    }

    /** Creates a request for the outcome recorded under an idempotency key. */
    public static BackendRequest outcome(long term, IdempotencyKey idempotency) {
        String query = "account=" + encode(idempotency.account()) + "&key=" + encode(idempotency.key());
        return new BackendRequest("GET", "/outcomes?" + query + "&term=" + term, null);
    }

    private static ObjectNode withIdempotency(ObjectNode body, @Nullable IdempotencyKey idempotency) {
        if (idempotency != null) {
            body.putObject("idempotency").put("account", idempotency.account()).put("key", idempotency.key());
        }
        return body;
    }

    private static ObjectNode newObject() {
        return JsonNodeFactory.instance.objectNode();
    }

    private static String encode(String value) {
        return URLEncoder.encode(value, StandardCharsets.UTF_8);
    }
}
