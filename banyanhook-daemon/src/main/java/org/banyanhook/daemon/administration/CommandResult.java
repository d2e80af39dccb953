package org.banyanhook.daemon.administration;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import java.util.List;

/**
 * The result of a command.
 *
 * @param command the command in canonical form
 * @param version the configuration version that a change created or that a query read; 0 if the change is not yet
 *     written to the platform
 * @param rows the rows of the result
 */
public record CommandResult(String command, long version, List<ObjectNode> rows) {
    public CommandResult {
        rows = ImmutableList.copyOf(rows);
    }
}
