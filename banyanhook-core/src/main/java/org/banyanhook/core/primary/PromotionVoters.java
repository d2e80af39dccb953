package org.banyanhook.core.primary;

import java.util.Collection;
import java.util.Comparator;
import java.util.Set;
import java.util.stream.Collectors;
import org.banyanhook.core.routing.RendezvousScores;

/**
 * Selects the voters: the entry VMs whose majority must vote for the replacement of a primary and reports it to those
 * without contact to the store. All entry VMs of a small fleet are voters, but only a few of a large one, so that an
 * outage of the store does not make every entry VM query every other.
 */
public final class PromotionVoters {

    /** Large enough that one or two failure domains may be missing, small enough to be queried by a whole fleet. */
    private static final int MAXIMUM_VOTERS = 9;

    private static final long KEY_HASH = RendezvousScores.nameHash("replacement-witnesses");

    private PromotionVoters() {}

    /**
     * Selects the voters.
     *
     * @param entryVms the names of all entry VMs that were seen recently
     * @return the names of the voters; the same on every entry VM that knows the same entry VMs
     */
    public static Set<String> of(Collection<String> entryVms) {
        if (entryVms.size() <= MAXIMUM_VOTERS) {
            return Set.copyOf(entryVms);
        }
        return entryVms.stream()
                .sorted(Comparator.comparingLong(
                                (String name) -> RendezvousScores.score(KEY_HASH, RendezvousScores.nameHash(name)))
                        .reversed())
                .limit(MAXIMUM_VOTERS)
                .collect(Collectors.toUnmodifiableSet());
    }
}
