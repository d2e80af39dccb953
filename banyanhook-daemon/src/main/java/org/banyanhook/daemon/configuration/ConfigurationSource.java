package org.banyanhook.daemon.configuration;

import org.banyanhook.core.configuration.FleetConfiguration;

/** Gives the configuration in force. Safe for use by several threads; never blocks. */
@FunctionalInterface
public interface ConfigurationSource {
    /**
     * Returns the newest configuration that this daemon has seen, {@link FleetConfiguration#EMPTY} before the first.
     */
    FleetConfiguration current();
}
