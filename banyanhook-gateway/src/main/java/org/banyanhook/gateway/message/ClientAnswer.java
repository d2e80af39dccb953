package org.banyanhook.gateway.message;

import java.util.List;
import org.jspecify.annotations.Nullable;

/** A message to a caller. */
public sealed interface ClientAnswer {

    /** The session is open. */
    record Opened() implements ClientAnswer {}

    /**
     * The session is refused; the connection closes.
     *
     * @param error why
     * @param detail more about it, with the remedy
     */
    record OpenRefused(SessionError error, String detail) implements ClientAnswer {}

    /**
     * A statement succeeded.
     *
     * @param rows its rows
     * @param signature the member's proof that it ran the statement, or null if this daemon answered by itself
     * @param state the state of the session
     */
    record Completed(List<String> rows, @Nullable String signature, TransactionState state) implements ClientAnswer {}

    /**
     * A statement failed.
     *
     * @param error why
     * @param detail more about it, with the remedy
     * @param state the state of the session
     */
    record Failed(SessionError error, String detail, TransactionState state) implements ClientAnswer {}
}
