package org.banyanhook.gateway.message;

import java.util.List;
import org.banyanhook.core.replication.LogPosition;
import org.jspecify.annotations.Nullable;

/**
 * The whole answer of a member to one command.
 *
 * @param rows its rows
 * @param signature the member's proof that it ran the statement, or null if it gave none
 * @param error why the command failed, or null if it succeeded
 * @param detail the text of the failure, empty if it succeeded
 * @param state the state of the connection
 * @param position the end of the member's log, or null if it told none
 */
public record MemberAnswer(
        List<String> rows,
        @Nullable String signature,
        @Nullable SessionError error,
        String detail,
        TransactionState state,
        @Nullable LogPosition position) {
    public MemberAnswer {
        rows = List.copyOf(rows);
    }
}
