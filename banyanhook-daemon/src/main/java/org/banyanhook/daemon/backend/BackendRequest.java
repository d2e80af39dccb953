package org.banyanhook.daemon.backend;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import org.jspecify.annotations.Nullable;

/**
 * A request to a backend server. Its fields are all that ever reaches a backend server: no header of a caller does.
 *
 * @param method the HTTP method
 * @param path the path with its query
 * @param body the JSON body, or null if the request has none
 */
public record BackendRequest(
        String method, String path, @Nullable ObjectNode body) {

    private static final String POST = "POST";

    /**
     * An idempotency key with the account that it belongs to.
     *
     * @param account the name of the client account
     * @param key the key that the caller chose
     */
    public record IdempotencyKey(String account, String key) {}

    /**
     * Creates a single statement.
     *
     * @param term the term that the server must be in
     * @param statement the text of the statement
     * @param write true if it may change data
     * @param idempotency under which to record the outcome, or null
     * @return the request
     */
    public static BackendRequest statement(
            long term, String statement, boolean write, @Nullable IdempotencyKey idempotency) {
        ObjectNode body =
                newObject().put("term", term).put("statement", statement).put("write", write);
        return new BackendRequest(POST, "/statements", withIdempotency(body, idempotency));
    }

    /** Creates the begin of a transaction in a term. */
    public static BackendRequest begin(long term) {
        return new BackendRequest(POST, "/transactions", newObject().put("term", term));
    }

    /** Creates a statement of the connection's transaction. */
    public static BackendRequest transactionStatement(String statement, boolean write) {
        ObjectNode body = newObject().put("statement", statement).put("write", write);
        return new BackendRequest(POST, "/transactions/statements", body);
    }

    /** Creates the commit of the connection's transaction in a term. */
    public static BackendRequest commit(long term, @Nullable IdempotencyKey idempotency) {
        return new BackendRequest(
                POST, "/transactions/commit", withIdempotency(newObject().put("term", term), idempotency));
    }

    /** Creates the rollback of the connection's transaction. */
    public static BackendRequest rollback() {
        return new BackendRequest(POST, "/transactions/rollback", newObject());
    }

    /** Creates the question for the outcome recorded under an idempotency key. */
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
