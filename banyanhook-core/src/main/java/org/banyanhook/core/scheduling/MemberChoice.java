package org.banyanhook.core.scheduling;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * Chooses the member of a database group that runs a statement.
 *
 * <p>Load pattern: some members are slow, busy or in another region, and a new connection occupies a member for as long
 * as a short statement does.
 */
public final class MemberChoice {

    /**
     * How much faster a member in another region must be to be preferred, because traffic between regions is charged
     * for.
     */
    static final double OTHER_REGION_PENALTY_MILLIS = 25;

    /** How long a member takes to accept a connection, and a round trip in addition. */
    static final double NEW_CONNECTION_PENALTY_MILLIS = 20;

    private MemberChoice() {}

    /** How a connection to a member can be obtained. */
    public enum Access {
        /** A connection of the client account is idle. */
        IDLE_CONNECTION,
        /** A new connection may be opened. */
        NEW_CONNECTION,
        /** An idle connection of another client account has to be closed first. */
        REPLACED_CONNECTION,
        /** A new connection beyond this daemon's share may be attempted; the member may refuse it. */
        BORROWED_CONNECTION
    }

    /**
     * A member that could run the statement.
     *
     * @param member the name of the member
     * @param access how a connection can be obtained
     * @param latencyMillis the expected time in which it answers a single statement
     * @param inFlight how many statements of this daemon it is running
     * @param otherRegion whether it is in another region than this daemon
     */
    public record Candidate(String member, Access access, double latencyMillis, int inFlight, boolean otherRegion) {

        /** Returns the cost of running the statement there, in milliseconds. */
        double costMillis() {
            double cost = latencyMillis * (1 + inFlight);
            if (access != Access.IDLE_CONNECTION) {
                cost += NEW_CONNECTION_PENALTY_MILLIS;
            }
            return otherRegion ? cost + OTHER_REGION_PENALTY_MILLIS : cost;
        }
    }

    /**
     * Chooses the member with the lowest cost.
     *
     * @param candidates the members that could run the statement
     * @return the chosen candidate, or empty if there is none
     */
    public static Optional<Candidate> choose(Collection<Candidate> candidates) {
        return candidates.stream()
                .min(Comparator.comparingDouble(Candidate::costMillis)
                        .thenComparing(Candidate::access)
                        .thenComparing(Candidate::member));
    }
}
