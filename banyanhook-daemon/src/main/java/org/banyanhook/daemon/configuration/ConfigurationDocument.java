package org.banyanhook.daemon.configuration;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.banyanhook.core.configuration.FleetConfiguration;

/**
 * A configuration with the JSON that it was read from, which may hold fields that this daemon does not know.
 *
 * @param configuration what this daemon understood of it
 * @param tree the whole document; not to be changed
 */
public record ConfigurationDocument(FleetConfiguration configuration, ObjectNode tree) {

    /** Returns the document as JSON text, with all fields. */
    public String text() {
        return tree.toString();
    }

    /** Returns the version of the document. */
    public long version() {
        return configuration.version();
    }

    @Override
    public String toString() {
        return "ConfigurationDocument[version=" + version() + "]";
    }
}
