package org.banyanhook.core.routing;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Chooses the few entry VMs that own the connections to a database.
 *
 * <p>Rendezvous hashing: every entry VM with the same candidates makes the same choice, and a candidate that comes or
 * goes moves only its own share of the databases. Homes are spread over failure domains first, so that a failure domain
 * that is cut off from the others still has a home.
 */
public final class HomePlacement {

    /** How many homes a database has while enough entry VMs live. */
    public static final int HOME_COUNT = 3;

    private HomePlacement() {}

    /**
     * Chooses homes.
     *
     * @param database the name of the database
     * @param candidates the live entry VMs that are not leaving and not in a failure domain that is taken out
     * @param count how many homes to choose, at least 1
     * @return at most {@code count} homes, the highest ranked of each failure domain first; empty without candidates
     */
    public static List<HomeCandidate> homes(String database, Collection<HomeCandidate> candidates, int count) {
        checkArgument(count > 0, "count of homes must be positive, was %s", count);
        List<HomeCandidate> ranked = ranked(database, candidates);
        List<HomeCandidate> chosen = new ArrayList<>();
        Set<String> domains = new HashSet<>();
        for (HomeCandidate candidate : ranked) {
            if (domains.add(candidate.failureDomain())) {
                chosen.add(candidate);
            }
        }
        for (HomeCandidate candidate : ranked) {
            if (!chosen.contains(candidate)) {
                chosen.add(candidate);
            }
        }
        return ImmutableList.copyOf(chosen.subList(0, Math.min(count, chosen.size())));
    }

    /**
     * Orders homes by how near they are to an entry VM.
     *
     * @param homes the homes of a database
     * @param entryVm the entry VM that has a request
     * @return the entry VM itself if it is a home, then homes of its failure domain, then the others in their order
     */
    public static List<HomeCandidate> nearestFirst(List<HomeCandidate> homes, HomeCandidate entryVm) {
        return homes.stream()
                .sorted(Comparator.comparingInt(home -> distance(home, entryVm)))
                .collect(ImmutableList.toImmutableList());
    }

    private static int distance(HomeCandidate home, HomeCandidate entryVm) {
        if (home.entryVm().equals(entryVm.entryVm())) {
            return 0;
        }
        return home.failureDomain().equals(entryVm.failureDomain()) ? 1 : 2;
    }

    private static List<HomeCandidate> ranked(String database, Collection<HomeCandidate> candidates) {
        return candidates.stream()
                .distinct()
                .sorted(Comparator.<HomeCandidate>comparingLong(candidate -> score(database, candidate))
                        .reversed()
                        .thenComparing(HomeCandidate::entryVm))
                .toList();
    }

    private static long score(String database, HomeCandidate candidate) {
        return Hashing.murmur3_128()
                .newHasher()
                .putInt(database.length())
                .putString(database, StandardCharsets.UTF_8)
                .putString(candidate.entryVm(), StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }
}
