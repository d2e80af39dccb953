package org.banyanhook.core.usage;

import java.util.Comparator;
import java.util.Optional;
import java.util.Set;
import org.banyanhook.core.routing.RendezvousScores;

/** Decides when a daemon tries to take a duty that nobody holds, so that not all daemons call the store at once. */
public final class DutyCandidacy {

    /** Longer than a daemon needs to take the duty, and than a watch needs to report that. */
    private static final long STEP_MILLIS = 300;

    private DutyCandidacy() {}

    /**
     * Returns how long the duty must have been without a holder before a daemon tries to take it.
     *
     * @param duty the name of the duty
     * @param daemon the daemon
     * @param daemons the daemons that run
     * @return the delay in milliseconds
     */
    public static long delayMillis(String duty, String daemon, Set<String> daemons) {
        long dutyHash = RendezvousScores.nameHash(duty);
        long own = score(dutyHash, daemon);
        long rank = daemons.stream()
                .filter(other -> !other.equals(daemon))
                .filter(other -> score(dutyHash, other) > own)
                .count();
        return rank * STEP_MILLIS;
    }

    /** Returns the daemon that takes a duty first if its holder ends, or empty if the holder is alone. */
    public static Optional<String> successor(String duty, String holder, Set<String> daemons) {
        long dutyHash = RendezvousScores.nameHash(duty);
        return daemons.stream()
                .filter(other -> !other.equals(holder))
                .max(Comparator.comparingLong(other -> score(dutyHash, other)));
    }

    private static long score(long dutyHash, String daemon) {
        return RendezvousScores.score(dutyHash, RendezvousScores.nameHash(daemon));
    }
}
