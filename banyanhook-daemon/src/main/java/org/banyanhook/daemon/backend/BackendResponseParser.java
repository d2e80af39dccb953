package org.banyanhook.daemon.backend;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.io.IOException;
import org.banyanhook.core.replication.LogPosition;
import org.jspecify.annotations.Nullable;

/** Parses responses of backend servers and verifies that they are complete and belong to the request. */
final class BackendResponseParser {

    private static final int OK = 200;
    private static final ObjectMapper MAPPER = new ObjectMapper()
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .enable(DeserializationFeature.USE_BIG_DECIMAL_FOR_FLOATS)
            .setNodeFactory(JsonNodeFactory.withExactBigDecimals(true));

    private BackendResponseParser() {}

    /**
     * Parses a response.
     *
     * @param status the HTTP status
     * @param content the response body
     * @param answerId the id that the response must repeat, or null for a request without a body
     * @return the response
     * @throws BackendException of kind {@code REFUSED} if the server reports that it did not run the request, or of
     *     kind {@code MAYBE_SENT} if the response is malformed or belongs to another request
     */
    static BackendResponse parse(int status, byte[] content, @Nullable String answerId) throws BackendException {
        JsonNode body = readObject(content);
        if (status == OK) {
            requireAnswerId(body, answerId);
            return toResponse(body);
        }
        throw toException(status, body, answerId);
    }

    private static JsonNode readObject(byte[] content) throws BackendException {
        try {
            JsonNode body = MAPPER.readTree(content);
            if (body.isObject()) {
                return body;
            }
            throw BackendException.maybeSent("the backend server's response is not a JSON object", null);
        } catch (JsonProcessingException exception) {
            exception.clearLocation();
            throw BackendException.maybeSent("the backend server's response is not a complete JSON text", exception);
        } catch (IOException exception) {
            throw BackendException.maybeSent("the backend server's response cannot be read", exception);
        }
    }

    private static void requireAnswerId(JsonNode body, @Nullable String answerId) throws BackendException {
        if (answerId != null && !answerId.equals(body.path("answerId").asText())) {
            throw BackendException.maybeSent("the backend server's response belongs to another request", null);
        }
    }

    private static BackendResponse toResponse(JsonNode body) throws BackendException {
        long position = body.path("position").asLong(0);
        long lastTerm = body.path("lastTerm").asLong(0);
        if (position < 0 || lastTerm < 0) {
            throw BackendException.maybeSent("the backend server's response has a negative log position or term", null);
        }
        return new BackendResponse(
                body.path("term").asLong(0),
                new LogPosition(lastTerm, position),
                body.path("result").isMissingNode()
                        ? "null"
                        : body.path("result").toString(),
                body.path("replayed").asBoolean(false),
                body.path("found").asBoolean(true));
    }

    private static BackendException toException(int status, JsonNode body, @Nullable String answerId)
            throws BackendException {
        requireAnswerId(body, answerId);
        String errorCode = body.path("error").asText("");
        if (!BackendErrorCodes.NOT_RUN_CODES.contains(errorCode)) {
            throw BackendException.maybeSent("the backend server responded with status " + status, null);
        }
        String detail = body.path("detail").asText(errorCode);
        return BackendException.refused(detail, errorCode, body.path("term").asLong(0));
    }
}
