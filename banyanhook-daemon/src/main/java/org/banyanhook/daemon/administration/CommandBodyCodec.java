package org.banyanhook.daemon.administration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableSet;
import java.util.Iterator;
import java.util.OptionalLong;
import java.util.Set;
import java.util.UUID;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;

/** Parses request bodies and writes response bodies of the command interface. Safe for use by several threads. */
final class CommandBodyCodec {

    private static final Set<String> FIELDS = ImmutableSet.of("command", "commandId", "basedOnVersion");
    private static final int MAXIMUM_ID_CHARACTERS = 100;

    private final JsonMapper mapper = new JsonMapper();

    CommandRequest parseRequest(String body, String operator) throws RefusalException {
        JsonNode tree = parseObject(body);
        for (Iterator<String> names = tree.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (!FIELDS.contains(name)) {
                throw malformedRequest("There is no field '" + name + "'; use " + FIELDS + ".");
            }
        }
        if (!tree.path("command").isTextual()) {
            throw malformedRequest("The field 'command' must be a string.");
        }
        return new CommandRequest(tree.get("command").asText(), commandId(tree), basedOnVersion(tree), operator);
    }

    String write(CommandResult result) {
        ObjectNode tree = mapper.createObjectNode().put("command", result.command());
        if (result.version() > 0) {
            tree.put("version", result.version());
        }
        ArrayNode rows = tree.putArray("rows");
        result.rows().forEach(rows::add);
        return tree.toString();
    }

    String write(RefusalException refusal, String requestId) {
        return mapper.createObjectNode()
                .put("type", "about:blank")
                .put("title", refusal.kind().label())
                .put("status", refusal.kind().httpStatus())
                .put("kind", refusal.kind().label())
                .put("execution", refusal.execution().label())
                .put("detail", refusal.detail())
                .put("remedy", refusal.kind().remedy())
                .put("requestId", requestId)
                .toString();
    }

    private JsonNode parseObject(String body) throws RefusalException {
        try {
            JsonNode tree = mapper.readTree(body);
            if (tree.isObject()) {
                return tree;
            }
            throw malformedRequest("The body is not a JSON object.");
        } catch (JsonProcessingException exception) {
            throw malformedRequest("The body is not valid JSON.");
        }
    }

    private static String commandId(JsonNode tree) throws RefusalException {
        if (!tree.has("commandId")) {
            return UUID.randomUUID().toString();
        }
        String id = tree.get("commandId").asText();
        if (!tree.get("commandId").isTextual() || id.isEmpty() || id.length() > MAXIMUM_ID_CHARACTERS) {
            throw malformedRequest(
                    "The field 'commandId' must be a string of 1 to " + MAXIMUM_ID_CHARACTERS + " characters.");
        }
        return id;
    }

    private static OptionalLong basedOnVersion(JsonNode tree) throws RefusalException {
        if (!tree.has("basedOnVersion")) {
            return OptionalLong.empty();
        }
        JsonNode version = tree.get("basedOnVersion");
        if (!version.isIntegralNumber() || version.asLong() < 0) {
            throw malformedRequest("The field 'basedOnVersion' must be an integer of at least 0.");
        }
        return OptionalLong.of(version.asLong());
    }

    private static RefusalException malformedRequest(String detail) {
        return RefusalException.notRun(RefusalKind.MALFORMED_REQUEST, detail);
    }
}
