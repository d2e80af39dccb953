package org.banyanhook.daemon.settings;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import com.google.common.io.Resources;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Loads the settings of a daemon from a YAML file and validates them. Safe for use by several threads. */
public final class SettingsLoader {

    private static final String DEFAULTS_RESOURCE = "settings-defaults.yaml";

    private final YAMLFactory factory = YAMLFactory.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .build();
    private final YAMLMapper mapper = YAMLMapper.builder(factory)
            .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
            .build();
    private final SettingsSchema schema = new SettingsSchema();

    /**
     * Loads and validates a settings file.
     *
     * @param path the path of the file
     * @return the settings, with defaults for absent values
     * @throws SettingsException if the file cannot be read or contains invalid values; lists all errors found
     */
    public DaemonSettings load(Path path) throws SettingsException {
        try {
            return parse(path.toString(), Files.readString(path));
        } catch (IOException exception) {
            String problem = "the file cannot be read (" + exception.getClass().getSimpleName() + ")";
            throw fileException(path.toString(), 0, problem, "give the path of a readable UTF-8 file with --settings");
        }
    }

    /**
     * Parses and validates the text of a settings file.
     *
     * @param file the name of the file, used in messages
     * @param text the text of the file
     * @return the settings, with defaults for absent values
     * @throws SettingsException if the text contains invalid values; lists all errors found
     */
    public DaemonSettings parse(String file, String text) throws SettingsException {
        try {
            JsonNode given = mapper.readTree(text);
            YamlLineIndex lines = YamlLineIndex.of(factory, text);
            throwIfAny(schema.check(file, given, lines));
            throwIfAny(new SettingsValidator(file, given, lines).validate());
            return bind(given);
        } catch (JacksonException exception) {
            int line = exception.getLocation() == null
                    ? 0
                    : exception.getLocation().getLineNr();
            throw fileException(file, line, exception.getOriginalMessage(), "write valid YAML, each key once");
        } catch (IOException exception) {
            throw new UncheckedIOException("cannot read the settings from memory", exception);
        }
    }

    private DaemonSettings bind(JsonNode given) throws IOException {
        JsonNode defaults = mapper.readTree(Resources.getResource(SettingsLoader.class, DEFAULTS_RESOURCE));
        return mapper.treeToValue(merge((ObjectNode) defaults, (ObjectNode) given), DaemonSettings.class);
    }

    private static ObjectNode merge(ObjectNode defaults, ObjectNode given) {
        ObjectNode merged = defaults.deepCopy();
        given.properties().forEach(entry -> {
            JsonNode defaultValue = merged.get(entry.getKey());
            boolean bothAreObjects = defaultValue instanceof ObjectNode && entry.getValue() instanceof ObjectNode;
            JsonNode value =
                    bothAreObjects ? merge((ObjectNode) defaultValue, (ObjectNode) entry.getValue()) : entry.getValue();
            merged.set(entry.getKey(), value);
        });
        return merged;
    }

    private static void throwIfAny(List<SettingsError> errors) throws SettingsException {
        if (!errors.isEmpty()) {
            throw new SettingsException(errors);
        }
    }

    private static SettingsException fileException(String file, int line, String problem, String remedy) {
        return new SettingsException(List.of(new SettingsError(file, line, "", "", problem, remedy)));
    }
}
