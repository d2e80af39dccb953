package org.banyanhook.daemon.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import java.util.List;

/**
 * One value of a JSON tree with its place, for messages. Immutable.
 *
 * @param path the place, as in {@code /accounts/0/name}
 * @param value the value; a missing node if there is none
 */
record JsonField(String path, JsonNode value) {

    static JsonField root(JsonNode tree) {
        return new JsonField("", tree);
    }

    JsonField field(String name) {
        return new JsonField(path + "/" + name, value.path(name));
    }

    String text() throws ConfigurationFormatException {
        if (!value.isTextual() || value.asText().isEmpty()) {
            throw refused("a text that is not empty");
        }
        return value.asText();
    }

    double number() throws ConfigurationFormatException {
        if (!value.isNumber()) {
            throw refused("a number");
        }
        return value.asDouble();
    }

    long positiveLong() throws ConfigurationFormatException {
        if (!value.canConvertToLong() || !value.isIntegralNumber() || value.asLong() <= 0) {
            throw refused("a whole number above 0");
        }
        return value.asLong();
    }

    long wholeNumber(long fallback) throws ConfigurationFormatException {
        if (value.isMissingNode()) {
            return fallback;
        }
        if (!value.isIntegralNumber() || value.asLong() < 0) {
            throw refused("a whole number of at least 0");
        }
        return value.asLong();
    }

    boolean truth(boolean fallback) throws ConfigurationFormatException {
        if (value.isMissingNode()) {
            return fallback;
        }
        if (!value.isBoolean()) {
            throw refused("true or false");
        }
        return value.asBoolean();
    }

    <T> List<T> list(ElementReader<T> reader) throws ConfigurationFormatException {
        if (value.isMissingNode()) {
            return List.of();
        }
        if (!value.isArray()) {
            throw refused("a list");
        }
        ImmutableList.Builder<T> elements = ImmutableList.builder();
        for (int index = 0; index < value.size(); index++) {
            elements.add(reader.read(new JsonField(path + "/" + index, value.get(index))));
        }
        return elements.build();
    }

    private ConfigurationFormatException refused(String expected) {
        String found = value.isMissingNode() ? "missing" : value.getNodeType().toString();
        return new ConfigurationFormatException(
                "value at " + path + " of the configuration document is " + found + "; write " + expected);
    }

    /** Reads one element of a list. */
    @FunctionalInterface
    interface ElementReader<T> {
        T read(JsonField element) throws ConfigurationFormatException;
    }
}
