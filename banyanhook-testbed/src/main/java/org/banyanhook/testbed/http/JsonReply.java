package org.banyanhook.testbed.http;

import com.google.common.collect.ImmutableMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * The answer to one request.
 *
 * @param status the HTTP status
 * @param body a value that Jackson writes as JSON, or null for an empty body
 * @param closesConnection true if the connection is closed after the answer
 * @param headers additional headers
 */
public record JsonReply(int status, @Nullable Object body, boolean closesConnection, Map<String, String> headers) {

    public JsonReply {
        headers = Map.copyOf(headers);
    }

    /** Creates a reply without additional headers. */
    public JsonReply(int status, @Nullable Object body, boolean closesConnection) {
        this(status, body, closesConnection, Map.of());
    }

    /** Closes the connection without an answer. */
    public static final JsonReply DROPPED = new JsonReply(0, null, true);

    /** Returns a reply with status 200. */
    public static JsonReply ok(Object body) {
        return new JsonReply(200, body, false);
    }

    /** Returns a reply without a body. */
    public static JsonReply empty(int status) {
        return new JsonReply(status, null, false);
    }

    /** Returns a reply with another status. */
    public static JsonReply of(int status, Object body) {
        return new JsonReply(status, body, false);
    }

    /** Returns the same reply with one more header. */
    public JsonReply withHeader(String name, String value) {
        ImmutableMap.Builder<String, String> extended =
                ImmutableMap.<String, String>builder().putAll(headers).put(name, value);
        return new JsonReply(status, body, closesConnection, extended.buildOrThrow());
    }
}
