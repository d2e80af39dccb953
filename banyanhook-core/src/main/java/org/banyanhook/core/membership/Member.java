package org.banyanhook.core.membership;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

/**
 * An entry VM at one moment of its life. Immutable.
 *
 * @param name its name; a replaced VM may reuse it with a higher incarnation
 * @param failureDomain the failure domain that it runs in
 * @param peerAddress the IP number and port of its peer links
 * @param incarnation its start time in milliseconds, plus one for every refuted suspicion
 * @param state what is believed about it
 */
public record Member(String name, String failureDomain, String peerAddress, long incarnation, MemberState state) {
    public Member {
        checkArgument(!name.isEmpty(), "name must not be empty");
        checkArgument(incarnation >= 0, "incarnation of %s must not be negative, was %s", name, incarnation);
        requireNonNull(failureDomain, "failureDomain");
        requireNonNull(peerAddress, "peerAddress");
        requireNonNull(state, "state");
    }

    /** Returns the same member in another state. */
    public Member withState(MemberState newState) {
        return new Member(name, failureDomain, peerAddress, incarnation, newState);
    }

    /** Returns the same member with another incarnation. */
    public Member withIncarnation(long newIncarnation) {
        return new Member(name, failureDomain, peerAddress, newIncarnation, state);
    }

    /** Returns whether it is believed to run, leaving or not. */
    public boolean isRunning() {
        return state != MemberState.DEAD;
    }

    /**
     * Returns whether this is newer news than another about the same name.
     *
     * @param other the other news
     * @return true if the incarnation is higher, or equal with a state of higher order
     */
    public boolean supersedes(Member other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        return state.compareTo(other.state) > 0;
    }
}
