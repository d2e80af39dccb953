package org.banyanhook.daemon.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import java.util.List;

/**
 * A value of a JSON tree with its path, which error messages contain. Immutable.
 *
 * @param path the path, as in {@code /accounts/0/name}
 * @param value the value; a missing node if the field is absent
 */
record JsonField(String path, JsonNode value) {

    static JsonField root(JsonNode tree) {
        return new JsonField("", tree);
    }

    JsonField field(String name) {
        return new JsonField(path + "/" + name, value.path(name));
    }

    String nonEmptyText() throws ConfigurationFormatException {
        if (!value.isTextual() || value.asText().isEmpty()) {
            throw unexpectedValue("a non-empty string");
        }
        return value.asText();
    }

    double number() throws ConfigurationFormatException {
        if (!value.isNumber()) {
            throw unexpectedValue("a number");
        }
        return value.asDouble();
    }

    long positiveLong() throws ConfigurationFormatException {
        if (!value.canConvertToLong() || !value.isIntegralNumber() || value.asLong() <= 0) {
            throw unexpectedValue("a whole number above 0");
        }
        return value.asLong();
    }

    long nonNegativeLong(long defaultValue) throws ConfigurationFormatException {
        if (value.isMissingNode()) {
            return defaultValue;
        }
        if (!value.isIntegralNumber() || value.asLong() < 0) {
            throw unexpectedValue("a whole number of at least 0");
        }
        return value.asLong();
    }

    boolean booleanValue(boolean defaultValue) throws ConfigurationFormatException {
        if (value.isMissingNode()) {
            return defaultValue;
        }
        if (!value.isBoolean()) {
            throw unexpectedValue("true or false");
        }
        return value.asBoolean();
    }

    <T> List<T> list(ElementReader<T> reader) throws ConfigurationFormatException {
        if (value.isMissingNode()) {
            return List.of();
        }
        if (!value.isArray()) {
            throw unexpectedValue("a list");
        }
        ImmutableList.Builder<T> elements = ImmutableList.builder();
        for (int index = 0; index < value.size(); index++) {
            elements.add(reader.read(new JsonField(path + "/" + index, value.get(index))));
        }
        return elements.build();
    }

    private ConfigurationFormatException unexpectedValue(String expected) {
        String found = value.isMissingNode() ? "missing" : value.getNodeType().toString();
        return new ConfigurationFormatException(
                "value at " + path + " of the configuration document is " + found + "; write " + expected);
    }

    /** Reads an element of a list. */
    @FunctionalInterface
    interface ElementReader<T> {
        T read(JsonField element) throws ConfigurationFormatException;
    }
}
