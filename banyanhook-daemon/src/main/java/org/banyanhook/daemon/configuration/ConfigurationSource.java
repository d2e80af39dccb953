package org.banyanhook.daemon.configuration;

import org.banyanhook.core.configuration.FleetConfiguration;

/** Provides the effective configuration. Safe for use by several threads; never blocks. */
@FunctionalInterface
public interface ConfigurationSource {
    /**
     * Returns the newest configuration that this daemon has received, {@link FleetConfiguration#EMPTY} before the
     * first.
     */
    FleetConfiguration current();
}
