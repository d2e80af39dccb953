package org.banyanhook.core.command;

import org.banyanhook.core.configuration.FleetConfiguration;

/**
 * The configuration with a change in it.
 *
 * @param configuration the configuration, one version on unless the change was already in it
 * @param version the version that the change made
 * @param alreadyApplied true if the change was already part of the configuration under the same command id
 */
public record ChangeResult(FleetConfiguration configuration, long version, boolean alreadyApplied) {}
