package org.banyanhook.daemon.administration;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.OptionalLong;

/**
 * A command as sent by an operator.
 *
 * @param text the text of the command
 * @param commandId the id of the command, which retries repeat so that it is applied once
 * @param basedOnVersion the configuration version that the change is based on; empty for the version in force on this
 *     entry VM
 * @param operator the name of the operator
 */
public record CommandRequest(String text, String commandId, OptionalLong basedOnVersion, String operator) {
    public CommandRequest {
        checkArgument(!commandId.isEmpty(), "commandId must not be empty");
    }
}
