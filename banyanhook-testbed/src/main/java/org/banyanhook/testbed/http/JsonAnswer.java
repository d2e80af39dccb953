package org.banyanhook.testbed.http;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;

/**
 * An answer as a client received it.
 *
 * @param status the HTTP status
 * @param body the body, a missing node if it was empty
 * @param headers the headers, names in lower case
 */
public record JsonAnswer(int status, JsonNode body, Map<String, String> headers) {

    /** Returns a text field of the body, empty if it is absent. */
    public String text(String field) {
        return body.path(field).asText();
    }

    /** Returns a numeric field of the body, 0 if it is absent. */
    public long number(String field) {
        return body.path(field).asLong();
    }
}
