package org.banyanhook.core.scheduling;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
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

    /** The round trip between a home and its member, in the same failure domain, and the work of the home. */
    static final double HOME_PENALTY_MILLIS = 3;

    /**
     * The factor of the cost of a reserved primary. With a factor of 2, reads overloaded the replicas of a group of
     * which one was slow.
     */
    static final double RESERVED_FACTOR = 1.2;

    /**
     * The least weight of a member in a random choice, relative to the one with the lowest cost. The answers to these
     * statements show when a slow member has recovered.
     */
    static final double MINIMUM_WEIGHT = 0.01;

    private static final Comparator<Candidate> BY_COST = Comparator.comparingDouble(Candidate::costMillis)
            .thenComparing(Candidate::access)
            .thenComparing(Candidate::member);

    private MemberChoice() {}

    /** How a connection to a member can be obtained. */
    public enum Access {
        /** A connection of the client account is idle. */
        IDLE_CONNECTION,
        /** A daemon near the member runs the statement on a connection that it keeps. */
        HOME_CONNECTION,
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
     * @param expectedMillis the expected time in which it answers the statement
     * @param otherRegion whether it is in another region than this daemon
     * @param reserved whether it is a primary near its knee that the statement does not need, where routes differ in
     *     priority
     */
    public record Candidate(
            String member, Access access, double expectedMillis, boolean otherRegion, boolean reserved) {

        /**
         * Creates a candidate whose answers take longer by the statements that this daemon has sent to it.
         *
         * @param member the name of the member
         * @param access how a connection can be obtained
         * @param latencyMillis the expected time in which it answers a single statement
         * @param inFlight how many statements of this daemon it is running
         * @param otherRegion whether it is in another region than this daemon
         */
        public Candidate(String member, Access access, double latencyMillis, int inFlight, boolean otherRegion) {
            this(member, access, latencyMillis * (1 + inFlight), otherRegion, false);
        }

        /** Returns the cost of running the statement there, in milliseconds. */
        public double costMillis() {
            double cost = expectedMillis;
            if (access == Access.HOME_CONNECTION) {
                cost += HOME_PENALTY_MILLIS;
            } else if (access != Access.IDLE_CONNECTION) {
                cost += NEW_CONNECTION_PENALTY_MILLIS;
            }
            if (otherRegion) {
                cost += OTHER_REGION_PENALTY_MILLIS;
            }
            return reserved ? cost * RESERVED_FACTOR : cost;
        }
    }

    /**
     * Chooses the member with the lowest cost.
     *
     * @param candidates the members that could run the statement
     * @return the chosen candidate, or empty if there is none
     */
    public static Optional<Candidate> choose(Collection<Candidate> candidates) {
        return candidates.stream().min(BY_COST);
    }

    /**
     * Chooses a member at random, with a weight that falls with the cost, so that many daemons with the same
     * information do not all choose the same member.
     *
     * @param candidates the members that could run the statement
     * @param draw a random value, at least 0 and less than 1
     * @return the chosen candidate, or empty if there is none
     */
    public static Optional<Candidate> choose(List<Candidate> candidates, double draw) {
        Optional<Candidate> best = choose(candidates);
        if (candidates.size() < 2 || best.isEmpty()) {
            return best;
        }
        Candidate cheapest = best.get();
        double sum = 0;
        for (Candidate candidate : candidates) {
            sum += weight(candidate, cheapest);
        }
        double remaining = draw * sum;
        for (Candidate candidate : candidates) {
            remaining -= weight(candidate, cheapest);
            if (remaining < 0) {
                return Optional.of(candidate);
            }
        }
        return best;
    }

    /** Falls with the sixth power of the cost, so that nearly equal members share the requests and others get few. */
    private static double weight(Candidate candidate, Candidate cheapest) {
        if (candidate.otherRegion() && !cheapest.otherRegion()) {
            return 0;
        }
        double ratio = cheapest.costMillis() / candidate.costMillis();
        double cube = ratio * ratio * ratio;
        return candidate.reserved() ? cube * cube : Math.max(MINIMUM_WEIGHT, cube * cube);
    }
}
