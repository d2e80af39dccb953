package org.banyanhook.core.configuration;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableSet;
import java.util.Set;

/**
 * A command that became part of the configuration.
 *
 * @param id the id that its operator's tool chose; a repeat of it changes nothing
 * @param version the version that it made
 * @param text the command as written
 * @param subjects what it wrote; commands with a subject in common do not commute
 */
public record AppliedCommand(String id, long version, String text, Set<String> subjects) {
    public AppliedCommand {
        checkArgument(!id.isEmpty(), "id of a command must not be empty");
        checkArgument(version > 0, "version of command %s must be positive, was %s", id, version);
        subjects = ImmutableSet.copyOf(subjects);
    }
}
