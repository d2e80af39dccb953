package org.banyanhook.core.primary;

import java.util.Collection;
import java.util.Comparator;
import java.util.Set;
import java.util.stream.Collectors;
import org.banyanhook.core.routing.RendezvousScores;

/**
 * Chooses the entry VMs whose majority has to agree to a replacement and tells of it to those without the store: all of
 * a small fleet, a few of a large one, so that an outage of the store does not make every entry VM ask every other.
 */
public final class PromotionVoters {

    /** Enough that a failure domain or two may be missing, few enough to be asked by a whole fleet. */
    private static final int MAXIMUM_VOTERS = 9;

    private static final long KEY_HASH = RendezvousScores.nameHash("replacement-witnesses");

    private PromotionVoters() {}

    /**
     * Chooses the witnesses.
     *
     * @param entryVms the names of all entry VMs that were seen of late
     * @return the names of the witnesses; the same wherever the same entry VMs are known
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
