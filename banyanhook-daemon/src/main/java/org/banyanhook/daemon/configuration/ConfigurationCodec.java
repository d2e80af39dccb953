package org.banyanhook.daemon.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.banyanhook.core.configuration.FleetConfiguration;

/**
 * Reads and writes the configuration document. Safe for use by several threads.
 *
 * <p>Fields, and elements of lists, that a newer daemon wrote and this one does not know are passed over when reading
 * and kept when writing a change.
 */
public final class ConfigurationCodec {

    private final JsonMapper mapper = new JsonMapper();

    /**
     * Reads a document.
     *
     * @param text the JSON text
     * @return the document
     * @throws ConfigurationFormatException if a field that this daemon needs is missing or cannot be used
     */
    public ConfigurationDocument decode(String text) throws ConfigurationFormatException {
        ObjectNode tree = parse(text);
        return new ConfigurationDocument(ConfigurationTreeReader.read(tree), tree);
    }

    /**
     * Writes a configuration that no document precedes.
     *
     * @param configuration the configuration
     * @return its document
     */
    public ConfigurationDocument encode(FleetConfiguration configuration) {
        return new ConfigurationDocument(configuration, ConfigurationTreeWriter.write(configuration));
    }

    /**
     * Writes a changed configuration over the document that it was made from.
     *
     * @param original the document before the change
     * @param changed the configuration after the change
     * @return the document after the change, with everything in the original that this daemon does not know
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
            throw new ConfigurationFormatException("the configuration document is no JSON object; write one");
        } catch (JsonProcessingException exception) {
            int line = exception.getLocation() == null
                    ? 0
                    : exception.getLocation().getLineNr();
            throw new ConfigurationFormatException(
                    "the configuration document is not valid JSON at line " + line + "; correct its syntax");
        }
    }
}
