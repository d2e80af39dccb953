package org.banyanhook.daemon.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.util.RawValue;
import java.util.HashMap;
import java.util.Map;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.daemon.execution.StatementOutcome;

/** Creates replies to callers. */
final class CallerReplyFactory {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String JSON_CONTENT_TYPE = "application/json";
    private static final String PROBLEM_CONTENT_TYPE = "application/problem+json";
    private static final int STATUS_OK = 200;
    private static final int STATUS_UNAUTHORIZED = 401;
    private static final long MILLIS_PER_SECOND = 1000;

    private CallerReplyFactory() {}

    /**
     * Creates the reply to a successful statement.
     *
     * @param outcome the outcome of the statement
     * @param database the name of the database
     * @param session the encoded session token to return to the caller
     * @return the reply
     */
    static CallerReply result(StatementOutcome outcome, String database, String session) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.putRawValue("result", new RawValue(outcome.resultJson()));
        body.put("database", database)
                .put("term", outcome.position().term())
                .put("position", outcome.position().position())
                .put("servedBy", outcome.servedBy())
                .put("replica", outcome.replica())
                .put("replayed", outcome.replayed());
        if (outcome.replica()) {
            body.put("ageMillis", outcome.ageMillis());
        }
        return ok(body, session);
    }

    /**
     * Creates a successful reply with a JSON object as its body.
     *
     * @param body the body
     * @param session the encoded session token to return to the caller
     * @return the reply
     */
    static CallerReply ok(ObjectNode body, String session) {
        return new CallerReply(STATUS_OK, JSON_CONTENT_TYPE, Map.of(CallerHeaders.SESSION, session), toBytes(body));
    }

    /**
     * Creates the problem reply for a refusal.
     *
     * @param refusal the refusal
     * @param requestId the id of the request
     * @return the reply
     */
    static CallerReply problem(RefusalException refusal, String requestId) {
        ObjectNode body = JsonNodeFactory.instance
                .objectNode()
                .put("type", "urn:banyanhook:refusal:" + refusal.kind().label())
                .put("title", refusal.kind().label().replace('-', ' '))
                .put("status", refusal.kind().httpStatus())
                .put("kind", refusal.kind().label())
                .put("execution", refusal.execution().label())
                .put("detail", refusal.detail())
                .put("remedy", refusal.kind().remedy())
                .put("requestId", requestId);
        Map<String, String> headers = new HashMap<>();
        refusal.retryAfter()
                .ifPresent(wait -> headers.put("Retry-After", Long.toString(roundUpToSeconds(wait.toMillis()))));
        if (refusal.kind().httpStatus() == STATUS_UNAUTHORIZED) {
            headers.put("WWW-Authenticate", "Bearer");
        }
        return new CallerReply(refusal.kind().httpStatus(), PROBLEM_CONTENT_TYPE, headers, toBytes(body));
    }

    private static long roundUpToSeconds(long millis) {
        return Math.max(1, (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND);
    }

    private static byte[] toBytes(ObjectNode body) {
        try {
            return MAPPER.writeValueAsBytes(body);
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("could not serialize a reply to JSON", exception);
        }
    }
}
