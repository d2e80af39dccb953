package org.banyanhook.gateway.message;

/** What a caller asks of its session. The texts are kept as received, so that they can be passed on unchanged. */
public sealed interface SessionStatement {

    /**
     * Begins a transaction.
     *
     * @param readOnly whether it only reads
     */
    record Begin(boolean readOnly) implements SessionStatement {}

    /** Commits the transaction. */
    record Commit() implements SessionStatement {}

    /** Rolls the transaction back. */
    record Rollback() implements SessionStatement {}

    /**
     * Reads an item.
     *
     * @param arguments the text after the verb
     */
    record Read(String arguments) implements SessionStatement {}

    /**
     * Writes an item.
     *
     * @param arguments the text after the verb
     */
    record Write(String arguments) implements SessionStatement {}

    /**
     * Sets a value of the session.
     *
     * @param name the name
     * @param value the value
     */
    record SetValue(String name, String value) implements SessionStatement {}

    /**
     * Prepares a statement under a name of the session.
     *
     * @param name the name
     * @param statement what it does
     */
    record Prepare(String name, PreparedShape statement) implements SessionStatement {}

    /**
     * Runs a prepared statement.
     *
     * @param name the name that the caller gave it
     * @param arguments the text after the name
     */
    record Execute(String name, String arguments) implements SessionStatement {}

    /**
     * Forgets a prepared statement.
     *
     * @param name its name
     */
    record Deallocate(String name) implements SessionStatement {}

    /**
     * A prepared statement.
     *
     * @param writes whether it writes
     * @param text its text
     */
    record PreparedShape(boolean writes, String text) {}
}
