package org.banyanhook.core.membership;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

/**
 * The known state of an entry VM at one moment. Immutable.
 *
 * @param name the name of the entry VM; a replacement VM may reuse it with a higher incarnation
 * @param failureDomain the failure domain that the entry VM runs in
 * @param peerAddress the IP address and port of its peer links
 * @param incarnation the start time in milliseconds, plus one for every update that it refuted
 * @param state the known membership state
 */
public record Member(String name, String failureDomain, String peerAddress, long incarnation, MemberState state) {
    public Member {
        checkArgument(!name.isEmpty(), "name must not be empty");
        checkArgument(incarnation >= 0, "incarnation of %s must not be negative, was %s", name, incarnation);
        requireNonNull(failureDomain, "failureDomain");
        requireNonNull(peerAddress, "peerAddress");
        requireNonNull(state, "state");
    }

    /** Returns a copy in another state. */
    public Member withState(MemberState newState) {
        return new Member(name, failureDomain, peerAddress, incarnation, newState);
    }

    /** Returns a copy with another incarnation. */
    public Member withIncarnation(long newIncarnation) {
        return new Member(name, failureDomain, peerAddress, newIncarnation, state);
    }

    /** Returns whether the entry VM is not dead; one that is leaving still runs. */
    public boolean isRunning() {
        return state != MemberState.DEAD;
    }

    /**
     * Returns whether this record supersedes another record of the same name.
     *
     * @param other the other record
     * @return true if the incarnation is higher, or if it is equal and the state comes later in {@link MemberState}
     */
    public boolean supersedes(Member other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        return state.compareTo(other.state) > 0;
    }
}
