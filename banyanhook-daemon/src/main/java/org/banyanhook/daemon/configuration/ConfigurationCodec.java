package org.banyanhook.daemon.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.banyanhook.core.configuration.FleetConfiguration;

/**
 * Decodes and encodes the configuration document. Safe for use by several threads.
 *
 * <p>Fields and list elements that a newer daemon wrote and this one does not know are ignored when a document is
 * decoded and preserved when a change is encoded.
 */
public final class ConfigurationCodec {

    private final JsonMapper mapper = new JsonMapper();

    /**
     * Decodes a document.
     *
     * @param text the JSON text
     * @return the document
     * @throws ConfigurationFormatException if the text is not a JSON object, or if a known field is missing or invalid
     */
    public ConfigurationDocument decode(String text) throws ConfigurationFormatException {
        ObjectNode tree = parse(text);
        return new ConfigurationDocument(ConfigurationTreeReader.read(tree), tree);
    }

    /**
     * Encodes a configuration that has no previous document.
     *
     * @param configuration the configuration
     * @return its document
     */
    public ConfigurationDocument encode(FleetConfiguration configuration) {
        return new ConfigurationDocument(configuration, ConfigurationTreeWriter.write(configuration));
    }

    /**
     * Encodes a changed configuration on the basis of the document before the change.
     *
     * @param original the document before the change
     * @param changed the configuration after the change
     * @return the document after the change, with all parts of the original that are unknown to this daemon
     */
    public ConfigurationDocument encodeChange(ConfigurationDocument original, FleetConfiguration changed) {
        ObjectNode before = ConfigurationTreeWriter.write(original.configuration());
        ObjectNode after = ConfigurationTreeWriter.write(changed);
        return new ConfigurationDocument(changed, TreeMerge.merge(original.tree(), before, after));
    }

    private ObjectNode parse(String text) throws ConfigurationFormatException {
        try {
            JsonNode tree = mapper.readTree(text);
            if (tree instanceof ObjectNode object) {
                return object;
            }
            throw new ConfigurationFormatException("the configuration document is not a JSON object; write one");
        } catch (JsonProcessingException exception) {
            int line = exception.getLocation() == null
                    ? 0
                    : exception.getLocation().getLineNr();
            throw new ConfigurationFormatException(
                    "the configuration document is not valid JSON at line " + line + "; correct its syntax");
        }
    }
}
