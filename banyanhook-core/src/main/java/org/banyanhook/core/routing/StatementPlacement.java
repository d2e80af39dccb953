package org.banyanhook.core.routing;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/** Chooses the member of a database group that runs a statement. */
public final class StatementPlacement {

    private StatementPlacement() {}

    /** How a connection to a member can be had. */
    public enum Access {
        /** One for the account is idle. */
        IDLE_CONNECTION,
        /** A new one may be opened. */
        NEW_CONNECTION,
        /** An idle one of another account must be closed first. */
        REPLACED_CONNECTION,
        /** A new one beyond this daemon's share may be tried; the member may refuse it. */
        BORROWED_CONNECTION
    }

    /**
     * A member that could run the statement.
     *
     * @param member its name
     * @param access how a connection can be had
     * @param expectedMillis how long the member is expected to take, its distance included
     */
    public record Candidate(String member, Access access, double expectedMillis) {}

    /**
     * Chooses the member that is expected to answer first.
     *
     * @param candidates the members that could run the statement
     * @return the choice, or empty if there is no candidate
     */
    public static Optional<Candidate> choose(Collection<Candidate> candidates) {
        return candidates.stream()
                .min(Comparator.comparingDouble(Candidate::expectedMillis)
                        .thenComparing(Candidate::access)
                        .thenComparing(Candidate::member));
    }
}
