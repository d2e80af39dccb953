package org.banyanhook.daemon.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.google.common.io.Resources;
import com.networknt.schema.Error;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Validates settings against their JSON Schema. Immutable. */
final class SettingsSchema {

    private static final String RESOURCE = "settings-schema.json";
    private static final String HIDDEN_VALUE = "(not shown)";

    private final Schema schema;

    SettingsSchema() {
        SchemaRegistry registry = SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12);
        this.schema = registry.getSchema(readResource());
    }

    List<SettingsError> check(String file, JsonNode settings, YamlLineIndex lines) {
        return schema.validate(settings).stream()
                .map(error -> toSettingsError(file, settings, lines, error))
                .toList();
    }

    static String displayedValue(JsonNode settings, String path) {
        if (path.endsWith("/hash")) {
            return HIDDEN_VALUE;
        }
        JsonNode value = settings.at(path);
        return value instanceof MissingNode ? "missing" : value.toString();
    }

    private static SettingsError toSettingsError(String file, JsonNode settings, YamlLineIndex lines, Error error) {
        String path = pathOf(error);
        String remedy = remedyOf(error);
        return new SettingsError(
                file, lines.lineOf(path), path, displayedValue(settings, path), problemOf(error), remedy);
    }

    private static String pathOf(Error error) {
        String location = error.getInstanceLocation().toString();
        String property = error.getProperty();
        return property == null ? location : location + "/" + property;
    }

    private static String problemOf(Error error) {
        return switch (error.getKeyword()) {
            case "additionalProperties" -> "no such setting";
            case "required" -> "a required setting";
            case "type" -> "a value of the wrong type";
            default -> "a value that is not accepted";
        };
    }

    private static String remedyOf(Error error) {
        String constraint = String.valueOf(error.getSchemaNode());
        return switch (error.getKeyword()) {
            case "additionalProperties" -> "remove it or correct its name";
            case "required" -> "add it";
            case "type" -> "write a value of type " + constraint;
            case "enum" -> "write one of " + constraint;
            case "minimum" -> "write at least " + constraint;
            case "maximum" -> "write at most " + constraint;
            case "pattern" -> "write a value of the form " + constraint;
            default -> "write a value with " + error.getKeyword() + " " + constraint;
        };
    }

    private static String readResource() {
        try {
            return Resources.toString(Resources.getResource(SettingsSchema.class, RESOURCE), StandardCharsets.UTF_8);
        } catch (IOException exception) {
            throw new UncheckedIOException("resource " + RESOURCE + " is missing; rebuild the jar", exception);
        }
    }
}
