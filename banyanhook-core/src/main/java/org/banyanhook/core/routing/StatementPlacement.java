package org.banyanhook.core.routing;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/** Chooses the member of a database group that runs a statement. */
public final class StatementPlacement {

    private StatementPlacement() {}

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
     * @param expectedMillis the expected latency of the member, including the network distance
     */
    public record Candidate(String member, Access access, double expectedMillis) {}

    /**
     * Chooses the member that is expected to answer first.
     *
     * @param candidates the members that could run the statement
     * @return the chosen candidate, or empty if there is none
     */
    public static Optional<Candidate> choose(Collection<Candidate> candidates) {
        return candidates.stream()
                .min(Comparator.comparingDouble(Candidate::expectedMillis)
                        .thenComparing(Candidate::access)
                        .thenComparing(Candidate::member));
    }
}
