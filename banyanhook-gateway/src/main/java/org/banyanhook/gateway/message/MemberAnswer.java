package org.banyanhook.gateway.message;

import java.util.List;
import org.banyanhook.core.replication.LogPosition;
import org.jspecify.annotations.Nullable;

/**
 * The complete answer of a member to one command.
 *
 * @param rows the rows of the result
 * @param signature the member's proof that it ran the statement, or null if it sent none
 * @param error the reason for the failure, or null if the command succeeded
 * @param detail the text of the error, empty if the command succeeded
 * @param state the transaction state of the connection
 * @param position the end of the member's log, or null if the answer contains none
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
