package org.banyanhook.gateway.message;

import org.banyanhook.core.replication.LogPosition;
import org.jspecify.annotations.Nullable;

/** A message from the gateway to a member. */
public sealed interface MemberCommand {

    /**
     * Opens a connection.
     *
     * @param group the database group that the member must belong to
     * @param account the client account that uses the connection
     * @param member the name that the member must have
     */
    record Open(String group, String account, String member) implements MemberCommand {}

    /**
     * Forwards a READ, WRITE, EXECUTE or COMMIT statement of a caller.
     *
     * @param requestId the request identifier that the caller assigned
     * @param statement the statement; a prepared statement has the name that it has on this connection
     * @param minimumPosition the position that the member's log must contain, or null for none
     */
    record PassOn(
            String requestId,
            SessionStatement statement,
            @Nullable LogPosition minimumPosition) implements MemberCommand {}

    /**
     * Runs a statement on behalf of this daemon itself.
     *
     * @param statement the statement
     * @param minimumPosition the position that the member's log must contain, or null for none
     */
    record Own(SessionStatement statement, @Nullable LogPosition minimumPosition) implements MemberCommand {}

    /** Discards all session values and prepared statements of the connection. */
    record Discard() implements MemberCommand {}

    /** Requests the role, the term and the log position of the member. */
    record Status() implements MemberCommand {}

    /**
     * Demotes the member to a replica if it is the primary of a lower term.
     *
     * @param term the term to compare with
     */
    record StepDown(long term) implements MemberCommand {}

    /** Closes the connection. */
    record Terminate() implements MemberCommand {}
}
