package org.banyanhook.core.command;

import org.banyanhook.core.configuration.FleetConfiguration;

/**
 * The result of applying a change to a configuration.
 *
 * @param configuration the configuration that contains the change; its version is increased by one unless the change
 *     was already applied
 * @param version the version that the change created
 * @param alreadyApplied true if the change was already part of the configuration under the same command id
 */
public record ChangeResult(FleetConfiguration configuration, long version, boolean alreadyApplied) {}
