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

/** Parses and validates the JSON bodies of callers' requests. */
final class CallerBodyParser {

    /** The default limit of a body, in bytes. */
    static final int DEFAULT_MAXIMUM_BODY_BYTES = 256 * 1024;

    private static final int MAXIMUM_NESTING_DEPTH = 4;
    private static final int MAXIMUM_NAME_CHARACTERS = 255;
    private static final String ROUTE = "route";
    private static final String DATABASE = "database";
    private static final String PARTITION_KEY = "partitionKey";
    private static final String STATEMENT = "statement";
    private static final String DEADLINE_MILLIS = "deadlineMillis";

    private static final ImmutableMap<CallerOperation, Set<String>> PERMITTED_FIELDS = ImmutableMap.of(
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
                            .maxNestingDepth(MAXIMUM_NESTING_DEPTH)
                            .build())
                    .build())
            .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    private CallerBodyParser() {}

    /**
     * Parses and validates a body.
     *
     * @param operation the requested operation, which determines the permitted fields
     * @param content the body in bytes; may be empty for a commit or rollback
     * @return the parsed fields
     * @throws RefusalException of kind {@code MALFORMED_REQUEST} if the body is not valid for the operation
     */
    static CallerBody parse(CallerOperation operation, byte[] content) throws RefusalException {
        boolean bodyOptional = operation == CallerOperation.COMMIT || operation == CallerOperation.ROLLBACK;
        if (content.length == 0 && bodyOptional) {
            return new CallerBody(null, null, null, null, null);
        }
        JsonNode body = readObject(content);
        requirePermittedFields(body, PERMITTED_FIELDS.getOrDefault(operation, Set.of()));
        CallerBody result = new CallerBody(
                readName(body, ROUTE),
                readName(body, DATABASE),
                readText(body, PARTITION_KEY),
                readText(body, STATEMENT),
                readDeadlineMillis(body));
        requireMandatoryFields(operation, result);
        return result;
    }

    private static JsonNode readObject(byte[] content) throws RefusalException {
        JsonNode body;
        try {
            body = MAPPER.readTree(content);
        } catch (IOException exception) {
            throw malformedRequest("The body is not valid JSON.");
        }
        if (!body.isObject()) {
            throw malformedRequest("The body is not a JSON object.");
        }
        return body;
    }

    private static void requirePermittedFields(JsonNode body, Set<String> permitted) throws RefusalException {
        for (Iterator<String> names = body.fieldNames(); names.hasNext(); ) {
            if (!permitted.contains(names.next())) {
                throw malformedRequest("The body has a field other than the permitted " + permitted + ".");
            }
        }
    }

    private static void requireMandatoryFields(CallerOperation operation, CallerBody body) throws RefusalException {
        boolean requiresRoute = operation == CallerOperation.STATEMENT || operation == CallerOperation.BEGIN;
        if (requiresRoute && body.route() == null) {
            throw malformedRequest("The body has no field 'route'.");
        }
        boolean hasDatabase = body.database() != null;
        boolean hasPartitionKey = body.partitionKey() != null;
        if (requiresRoute && hasDatabase == hasPartitionKey) {
            throw malformedRequest("The body must have exactly one of the fields 'database' and 'partitionKey'.");
        }
        boolean requiresStatement =
                operation == CallerOperation.STATEMENT || operation == CallerOperation.TRANSACTION_STATEMENT;
        if (requiresStatement && (body.statement() == null || body.statement().isEmpty())) {
            throw malformedRequest("The field 'statement' is missing or empty.");
        }
    }

    private static @Nullable String readName(JsonNode body, String field) throws RefusalException {
        String value = readText(body, field);
        if (value != null && (value.isEmpty() || value.length() > MAXIMUM_NAME_CHARACTERS)) {
            throw malformedRequest(
                    "The field '" + field + "' must have 1 to " + MAXIMUM_NAME_CHARACTERS + " characters.");
        }
        return value;
    }

    private static @Nullable String readText(JsonNode body, String field) throws RefusalException {
        JsonNode value = body.get(field);
        if (value == null) {
            return null;
        }
        if (!value.isTextual()) {
            throw malformedRequest("The field '" + field + "' is not a string.");
        }
        return value.textValue();
    }

    private static @Nullable Long readDeadlineMillis(JsonNode body) throws RefusalException {
        JsonNode value = body.get(DEADLINE_MILLIS);
        if (value == null) {
            return null;
        }
        boolean valid = value.isIntegralNumber() && value.canConvertToLong();
        if (!valid || value.longValue() < 1 || value.longValue() > CallerExchange.MAXIMUM_DEADLINE_MILLIS) {
            throw malformedRequest("The field 'deadlineMillis' must be a whole number from 1 to "
                    + CallerExchange.MAXIMUM_DEADLINE_MILLIS + ".");
        }
        return value.longValue();
    }

    private static RefusalException malformedRequest(String detail) {
        return RefusalException.notRun(RefusalKind.MALFORMED_REQUEST, detail);
    }
}
