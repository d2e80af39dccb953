package org.banyanhook.core.primary;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import org.banyanhook.core.replication.LogPosition;

/**
 * What a member of a database group says about itself.
 *
 * @param member the name of the backend server
 * @param term the highest term that it accepted
 * @param role its role in that term
 * @param position the place of its last log entry
 * @param primaryMember the primary that it follows, empty if it knows none
 * @param activeConnections how many connections are open to it
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
     * Tells whether the member counts towards the majority that holds a position.
     *
     * <p>A member whose last entry is of the term that it accepted holds the same log as that term's primary up to its
     * position. A member of the same term without an entry of it may still hold entries that the primary does not.
     *
     * @param target the place to confirm
     * @return true if the member accepted just the term of the place, wrote an entry of it and is at or past it
     */
    public boolean confirms(LogPosition target) {
        return term == target.term() && position.term() == term && position.position() >= target.position();
    }
}
