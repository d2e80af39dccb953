package org.banyanhook.gateway.message;

/** A message of a caller. */
public sealed interface ClientRequest {

    /**
     * Opens the session.
     *
     * @param databaseName the database to use
     * @param key the caller's key
     */
    record Open(String databaseName, String key) implements ClientRequest {}

    /**
     * Asks for a statement to be run.
     *
     * @param requestId the caller's name for the request
     * @param statement what to run
     */
    record Run(String requestId, SessionStatement statement) implements ClientRequest {}

    /**
     * A statement that could not be understood.
     *
     * @param requestId the caller's name for the request
     * @param reason what is wrong with it
     */
    record Misunderstood(String requestId, String reason) implements ClientRequest {}

    /** Ends the session. */
    record Terminate() implements ClientRequest {}
}
