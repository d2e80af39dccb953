package org.banyanhook.gateway.message;

/** A statement of a caller. Its texts are kept as received, so that they can be forwarded unchanged. */
public sealed interface SessionStatement {

    /** Returns the text after the keyword, where a member has to receive it; empty otherwise. */
    default String arguments() {
        return "";
    }

    /**
     * Begins a transaction.
     *
     * @param readOnly whether the transaction only reads
     */
    record Begin(boolean readOnly) implements SessionStatement {}

    /** Commits the transaction. */
    record Commit() implements SessionStatement {}

    /** Rolls back the transaction. */
    record Rollback() implements SessionStatement {}

    /**
     * Reads an item.
     *
     * @param arguments the text after the keyword
     */
    record Read(String arguments) implements SessionStatement {}

    /**
     * Writes an item.
     *
     * @param arguments the text after the keyword
     */
    record Write(String arguments) implements SessionStatement {}

    /**
     * Sets a session value.
     *
     * @param name the name
     * @param value the value
     */
    record SetValue(String name, String value) implements SessionStatement {}

    /**
     * Prepares a statement under a name.
     *
     * @param name the name, unique within the session
     * @param statement the statement to prepare
     */
    record Prepare(String name, PreparedShape statement) implements SessionStatement {}

    /**
     * Runs a prepared statement.
     *
     * @param name the name of the prepared statement
     * @param arguments the text after the name
     */
    record Execute(String name, String arguments) implements SessionStatement {}

    /**
     * Removes a prepared statement.
     *
     * @param name the name of the prepared statement
     */
    record Deallocate(String name) implements SessionStatement {}

    /**
     * The definition of a prepared statement.
     *
     * @param writes whether the statement writes
     * @param text the text of the statement
     */
    record PreparedShape(boolean writes, String text) {}
}
