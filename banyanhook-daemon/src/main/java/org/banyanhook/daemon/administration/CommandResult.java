package org.banyanhook.daemon.administration;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import java.util.List;

/**
 * The answer to a command.
 *
 * @param command the command as the grammar writes it
 * @param version the version that a change made, or that a query saw; 0 if the change is not in the platform yet
 * @param rows the rows of the answer
 */
public record CommandResult(String command, long version, List<ObjectNode> rows) {
    public CommandResult {
        rows = ImmutableList.copyOf(rows);
    }
}
