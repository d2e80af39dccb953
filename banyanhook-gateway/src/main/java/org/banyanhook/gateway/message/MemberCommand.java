package org.banyanhook.gateway.message;

import org.banyanhook.core.replication.LogPosition;
import org.jspecify.annotations.Nullable;

/** A message to a member. */
public sealed interface MemberCommand {

    /**
     * Opens a connection.
     *
     * @param group the database group that the member must belong to
     * @param account the client account that the connection is for
     * @param member the name that the member must have
     */
    record Open(String group, String account, String member) implements MemberCommand {}

    /**
     * Passes a caller's read, write, execution or commit on.
     *
     * @param requestId the caller's name for the request
     * @param statement the statement, with the prepared name of the connection where it executes one
     * @param minimumPosition the place that the member's log must hold, or null for none
     */
    record PassOn(
            String requestId,
            SessionStatement statement,
            @Nullable LogPosition minimumPosition) implements MemberCommand {}

    /**
     * Runs a statement on behalf of this daemon itself.
     *
     * @param statement the statement
     * @param minimumPosition the place that the member's log must hold, or null for none
     */
    record Own(SessionStatement statement, @Nullable LogPosition minimumPosition) implements MemberCommand {}

    /** Drops all values and prepared names of the connection. */
    record Discard() implements MemberCommand {}

    /** Asks for role, term and position. */
    record Status() implements MemberCommand {}

    /**
     * Makes a primary of a lower term a replica.
     *
     * @param term the term
     */
    record StepDown(long term) implements MemberCommand {}

    /** Closes the connection. */
    record Terminate() implements MemberCommand {}
}
