package org.banyanhook.testbed.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import org.eclipse.jetty.util.Fields;
import org.jspecify.annotations.Nullable;

/** One request, its body read whole. Immutable. */
public final class JsonRequest {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final String method;
    private final String rawPath;
    private final Fields query;
    private final String body;
    private final ClientConnection connection;

    JsonRequest(String method, String rawPath, Fields query, String body, ClientConnection connection) {
        this.method = method;
        this.rawPath = rawPath;
        this.query = query;
        this.body = body;
        this.connection = connection;
    }

    /** Returns the connection that the request came on. */
    public ClientConnection connection() {
        return connection;
    }

    /** Returns the method and the path as sent, as in {@code GET /status}. */
    public String route() {
        return method + " " + rawPath;
    }

    /** Returns the method. */
    public String method() {
        return method;
    }

    /** Returns the path as sent. */
    public String rawPath() {
        return rawPath;
    }

    /** Returns the decoded path segments. */
    public List<String> segments() {
        return Arrays.stream(rawPath.substring(1).split("/", -1))
                .map(segment -> URLDecoder.decode(segment.replace("+", "%2B"), StandardCharsets.UTF_8))
                .toList();
    }

    /** Returns the body as text. */
    public String body() {
        return body;
    }

    /**
     * Reads the body as JSON.
     *
     * @param type the record to read
     * @param <T> its type
     * @return the record
     * @throws MalformedRequestException if it is not JSON or has unknown fields
     */
    public <T> T body(Class<T> type) throws MalformedRequestException {
        try {
            T value = MAPPER.readValue(body.isEmpty() ? "{}" : body, type);
            if (value == null) {
                throw new MalformedRequestException("the body must be a JSON object");
            }
            return value;
        } catch (JsonProcessingException exception) {
            throw new MalformedRequestException(exception.getOriginalMessage());
        }
    }

    /**
     * Reads a whole number from the query.
     *
     * @param name the name of the parameter
     * @return its value
     * @throws MalformedRequestException if it is absent or no number
     */
    public long queryNumber(String name) throws MalformedRequestException {
        String value = queryText(name);
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException exception) {
            throw new MalformedRequestException("query parameter " + name + " must be a whole number, was " + value);
        }
    }

    /**
     * Reads a whole number from the query.
     *
     * @param name the name of the parameter
     * @param fallback the value if it is absent
     * @return its value
     * @throws MalformedRequestException if it is no number
     */
    public long queryNumber(String name, long fallback) throws MalformedRequestException {
        return query.getValue(name) == null ? fallback : queryNumber(name);
    }

    /**
     * Reads a text from the query.
     *
     * @param name the name of the parameter
     * @return its value
     * @throws MalformedRequestException if it is absent
     */
    public String queryText(String name) throws MalformedRequestException {
        @Nullable String value = query.getValue(name);
        if (value == null) {
            throw new MalformedRequestException("query parameter " + name + " is missing");
        }
        return value;
    }

    /**
     * Reads a text from the query.
     *
     * @param name the name of the parameter
     * @param fallback what to return if it is absent
     * @return the text
     */
    public String queryText(String name, String fallback) {
        String value = query.getValue(name);
        return value == null ? fallback : value;
    }
}
