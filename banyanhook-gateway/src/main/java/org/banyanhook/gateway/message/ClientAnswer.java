package org.banyanhook.gateway.message;

import java.util.List;
import org.jspecify.annotations.Nullable;

/** A message from the gateway to a caller. */
public sealed interface ClientAnswer {

    /** The session is open. */
    record Opened() implements ClientAnswer {}

    /**
     * The session is refused; the connection closes.
     *
     * @param error the reason
     * @param detail the explanation, with the remedy where there is one
     */
    record OpenRefused(SessionError error, String detail) implements ClientAnswer {}

    /**
     * Some rows of a result that is not complete yet.
     *
     * @param rows the rows, which precede those of the answer that completes the statement
     */
    record Rows(List<String> rows) implements ClientAnswer {}

    /**
     * A statement succeeded.
     *
     * @param rows the rows of the result
     * @param signature the member's proof that it ran the statement, or null if no member was involved
     * @param state the transaction state of the session
     */
    record Completed(List<String> rows, @Nullable String signature, TransactionState state) implements ClientAnswer {}

    /**
     * A statement failed.
     *
     * @param error the reason
     * @param detail the explanation, with the remedy where there is one
     * @param state the transaction state of the session
     */
    record Failed(SessionError error, String detail, TransactionState state) implements ClientAnswer {}
}
