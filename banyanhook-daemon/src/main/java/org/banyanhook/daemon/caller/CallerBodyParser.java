package org.banyanhook.daemon.caller;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.io.IOException;
import java.util.Iterator;
import java.util.Set;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;
import org.jspecify.annotations.Nullable;

/** Reads the JSON bodies of callers' requests. */
final class CallerBodyParser {

    /** The greatest body in bytes. */
    static final int MAXIMUM_BYTES = 256 * 1024;

    private static final int MAXIMUM_DEPTH = 4;
    private static final int MAXIMUM_NAME_LENGTH = 255;
    private static final String ROUTE = "route";
    private static final String DATABASE = "database";
    private static final String PARTITION_KEY = "partitionKey";
    private static final String STATEMENT = "statement";
    private static final String DEADLINE_MILLIS = "deadlineMillis";

    private static final ImmutableMap<CallerOperation, Set<String>> FIELDS = ImmutableMap.of(
            CallerOperation.STATEMENT,
            ImmutableSet.of(ROUTE, DATABASE, PARTITION_KEY, STATEMENT, DEADLINE_MILLIS),
            CallerOperation.BEGIN,
            ImmutableSet.of(ROUTE, DATABASE, PARTITION_KEY, DEADLINE_MILLIS),
            CallerOperation.TRANSACTION_STATEMENT,
            ImmutableSet.of(STATEMENT, DEADLINE_MILLIS),
            CallerOperation.COMMIT,
            ImmutableSet.of(DEADLINE_MILLIS),
            CallerOperation.ROLLBACK,
            ImmutableSet.of(DEADLINE_MILLIS));

    private static final ObjectMapper MAPPER = new ObjectMapper(JsonFactory.builder()
                    .streamReadConstraints(StreamReadConstraints.builder()
                            .maxNestingDepth(MAXIMUM_DEPTH)
                            .build())
                    .build())
            .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    private CallerBodyParser() {}

    /**
     * Reads a body.
     *
     * @param operation what the caller asks for
     * @param content the bytes of the body; may be empty for a commit or rollback
     * @return the fields
     * @throws RefusalException of kind {@code MALFORMED_REQUEST} if the body is not as the interface says
     */
    static CallerBody parse(CallerOperation operation, byte[] content) throws RefusalException {
        boolean optional = operation == CallerOperation.COMMIT || operation == CallerOperation.ROLLBACK;
        if (content.length == 0 && optional) {
            return new CallerBody(null, null, null, null, null);
        }
        JsonNode body = readObject(content);
        requireKnownFields(body, FIELDS.getOrDefault(operation, Set.of()));
        CallerBody result = new CallerBody(
                name(body, ROUTE),
                name(body, DATABASE),
                text(body, PARTITION_KEY),
                text(body, STATEMENT),
                deadline(body));
        requireFields(operation, result);
        return result;
    }

    private static JsonNode readObject(byte[] content) throws RefusalException {
        JsonNode body;
        try {
            body = MAPPER.readTree(content);
        } catch (IOException exception) {
            throw malformed("The body is no JSON text.");
        }
        if (!body.isObject()) {
            throw malformed("The body is no JSON object.");
        }
        return body;
    }

    private static void requireKnownFields(JsonNode body, Set<String> known) throws RefusalException {
        for (Iterator<String> names = body.fieldNames(); names.hasNext(); ) {
            if (!known.contains(names.next())) {
                throw malformed("The body has a field other than " + known + ".");
            }
        }
    }

    private static void requireFields(CallerOperation operation, CallerBody body) throws RefusalException {
        boolean choosesRoute = operation == CallerOperation.STATEMENT || operation == CallerOperation.BEGIN;
        if (choosesRoute && body.route() == null) {
            throw malformed("The body has no field 'route'.");
        }
        boolean hasDatabase = body.database() != null;
        boolean hasPartitionKey = body.partitionKey() != null;
        if (choosesRoute && hasDatabase == hasPartitionKey) {
            throw malformed("The body must have either 'database' or 'partitionKey'.");
        }
        boolean runs = operation == CallerOperation.STATEMENT || operation == CallerOperation.TRANSACTION_STATEMENT;
        if (runs && (body.statement() == null || body.statement().isEmpty())) {
            throw malformed("The body has no field 'statement', or an empty one.");
        }
    }

    private static @Nullable String name(JsonNode body, String field) throws RefusalException {
        String value = text(body, field);
        if (value != null && (value.isEmpty() || value.length() > MAXIMUM_NAME_LENGTH)) {
            throw malformed("The field '" + field + "' must have 1 to " + MAXIMUM_NAME_LENGTH + " characters.");
        }
        return value;
    }

    private static @Nullable String text(JsonNode body, String field) throws RefusalException {
        JsonNode value = body.get(field);
        if (value == null) {
            return null;
        }
        if (!value.isTextual()) {
            throw malformed("The field '" + field + "' is no string.");
        }
        return value.textValue();
    }

    private static @Nullable Long deadline(JsonNode body) throws RefusalException {
        JsonNode value = body.get(DEADLINE_MILLIS);
        if (value == null) {
            return null;
        }
        boolean valid = value.isIntegralNumber() && value.canConvertToLong();
        if (!valid || value.longValue() < 1 || value.longValue() > CallerExchange.MAXIMUM_DEADLINE_MILLIS) {
            throw malformed("The field 'deadlineMillis' must be a whole number from 1 to "
                    + CallerExchange.MAXIMUM_DEADLINE_MILLIS + ".");
        }
        return value.longValue();
    }

    private static RefusalException malformed(String detail) {
        return RefusalException.notRun(RefusalKind.MALFORMED_REQUEST, detail);
    }
}
