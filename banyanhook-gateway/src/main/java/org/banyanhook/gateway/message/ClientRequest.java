package org.banyanhook.gateway.message;

import org.banyanhook.gateway.message.SessionStatement.PreparedShape;
import org.jspecify.annotations.Nullable;

/** A message from a caller to the gateway. */
public sealed interface ClientRequest {

    /**
     * Opens the session.
     *
     * @param databaseName the name of the database
     * @param key the key of the caller
     */
    record Open(String databaseName, String key) implements ClientRequest {}

    /**
     * Requests the execution of a statement.
     *
     * @param requestId the request identifier that the caller assigned
     * @param statement the statement to run
     */
    record Run(String requestId, SessionStatement statement) implements ClientRequest {

        /** Statements over this length are not sent to another daemon, so that they are held by one daemon only. */
        private static final int MAXIMUM_FORWARDED_CHARACTERS = 64 << 10;

        /**
         * Returns whether the statement is too large to be passed on to another daemon.
         *
         * @param prepared the prepared statement that it runs, or null
         */
        public boolean isLarge(@Nullable PreparedShape prepared) {
            int preparedLength = prepared == null ? 0 : prepared.text().length();
            return statement.arguments().length() + preparedLength > MAXIMUM_FORWARDED_CHARACTERS;
        }
    }

    /**
     * A request that could not be parsed.
     *
     * @param requestId the request identifier that the caller assigned, empty if none could be read
     * @param reason the reason for the failure
     */
    record Misunderstood(String requestId, String reason) implements ClientRequest {}

    /** Ends the session. */
    record Terminate() implements ClientRequest {}
}
