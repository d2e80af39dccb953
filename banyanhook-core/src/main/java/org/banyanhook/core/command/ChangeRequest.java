package org.banyanhook.core.command;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A change that an operator asked for.
 *
 * @param commandId the id that the operator's tool chose, the same for every retry
 * @param basedOnVersion the version that the operator knew; changes after it that do not commute are conflicts
 * @param change the change
 */
public record ChangeRequest(String commandId, long basedOnVersion, ConfigurationChange change) {
    public ChangeRequest {
        checkArgument(!commandId.isEmpty(), "commandId must not be empty");
        checkArgument(basedOnVersion >= 0, "basedOnVersion must not be negative, was %s", basedOnVersion);
    }
}
