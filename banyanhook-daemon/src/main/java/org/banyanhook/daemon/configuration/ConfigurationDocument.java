package org.banyanhook.daemon.configuration;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.banyanhook.core.configuration.FleetConfiguration;

/**
 * A configuration with the JSON tree that it was read from, which may contain fields unknown to this daemon.
 *
 * @param configuration the known part of the document
 * @param tree the whole document; must not be modified
 */
public record ConfigurationDocument(FleetConfiguration configuration, ObjectNode tree) {

    /** Returns the whole document as JSON text. */
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
