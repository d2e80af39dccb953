package org.banyanhook.daemon.administration;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.OptionalLong;

/**
 * A command as an operator sent it.
 *
 * @param text the command
 * @param commandId the id that stands for the command in retries
 * @param basedOnVersion the version that the operator knew; empty for the one in force on this entry VM
 * @param operator the name of the operator
 */
public record CommandRequest(String text, String commandId, OptionalLong basedOnVersion, String operator) {
    public CommandRequest {
        checkArgument(!commandId.isEmpty(), "commandId must not be empty");
    }
}
