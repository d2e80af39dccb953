package org.banyanhook.core.primary;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import org.banyanhook.core.replication.LogPosition;

/**
 * The status that a member of a database group reports about itself.
 *
 * @param member the name of the backend server
 * @param term the highest term that the member accepted
 * @param role its role in that term
 * @param position the log position of its last entry
 * @param primaryMember the primary that it follows, empty if it knows none
 * @param activeConnections the number of connections open to it
 */
public record MemberStatus(
        String member, long term, MemberRole role, LogPosition position, String primaryMember, int activeConnections) {
    public MemberStatus {
        requireNonNull(role, "role");
        requireNonNull(position, "position");
        requireNonNull(primaryMember, "primaryMember");
        checkArgument(term >= 0, "term of %s must not be negative, was %s", member, term);
    }

    /**
     * Returns whether the member counts towards the majority that holds a log position.
     *
     * <p>A member whose last entry is of the term that it accepted holds the same log as that term's primary up to this
     * entry. A member of the same term without an entry of that term may still hold entries that the primary does not
     * hold.
     *
     * @param target the log position to confirm
     * @return true if the member accepted exactly the term of the position, holds an entry of that term and has reached
     *     the position
     */
    public boolean confirms(LogPosition target) {
        return term == target.term() && position.term() == term && position.position() >= target.position();
    }
}
