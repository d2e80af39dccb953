package org.banyanhook.core.routing;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the homes of a database: the entry VMs that own the connections to it.
 *
 * <p>Uses rendezvous hashing: every entry VM with the same candidates makes the same choice, and adding or removing a
 * candidate moves only its own share of the databases. Homes are spread over failure domains first, so that a failure
 * domain that is partitioned from the others still has a home. Immutable.
 */
public final class HomePlacement {

    /** The number of homes of a database while enough entry VMs are alive. */
    public static final int HOMES_PER_DATABASE = 3;

    private final ImmutableList<HashedCandidate> candidates;
    private final int failureDomainCount;

    private HomePlacement(ImmutableList<HashedCandidate> candidates, int failureDomainCount) {
        this.candidates = candidates;
        this.failureDomainCount = failureDomainCount;
    }

    /**
     * Creates a placement among candidates. To be created once for each known state of the fleet.
     *
     * @param candidates the live entry VMs that are neither leaving nor in a failure domain that is taken out
     * @return the placement
     */
    public static HomePlacement of(Collection<HomeCandidate> candidates) {
        ImmutableList.Builder<HashedCandidate> hashed = ImmutableList.builder();
        Map<String, Integer> domains = new LinkedHashMap<>();
        for (HomeCandidate candidate : new LinkedHashSet<>(candidates)) {
            int domain = domains.computeIfAbsent(candidate.failureDomain(), name -> domains.size());
            hashed.add(new HashedCandidate(candidate, domain, RendezvousScores.nameHash(candidate.entryVm())));
        }
        return new HomePlacement(hashed.build(), domains.size());
    }

    /**
     * Chooses the homes of a single database. For several databases, the result of {@link #of} is reused.
     *
     * @param database the name of the database
     * @param candidates as for {@link #of}
     * @param count the number of homes to choose, at least 1
     * @return as {@link #homes(String, int)}
     */
    public static List<HomeCandidate> homes(String database, Collection<HomeCandidate> candidates, int count) {
        return of(candidates).homes(database, count);
    }

    /**
     * Chooses the homes of a database.
     *
     * @param database the name of the database
     * @param count the number of homes to choose, at least 1
     * @return at most {@code count} homes, starting with the highest ranked of each failure domain; empty if there are
     *     no candidates
     */
    public List<HomeCandidate> homes(String database, int count) {
        checkArgument(count > 0, "number of homes must be positive, was %s", count);
        long databaseHash = RendezvousScores.nameHash(database);
        Set<HomeCandidate> chosen = new LinkedHashSet<>();
        Arrays.stream(bestOfEachFailureDomain(databaseHash))
                .filter(Objects::nonNull)
                .sorted(ScoredCandidate.HIGHEST_FIRST)
                .limit(count)
                .forEach(best -> chosen.add(best.candidate()));
        if (chosen.size() < count) {
            addHighest(databaseHash, count, chosen);
        }
        return ImmutableList.copyOf(chosen);
    }

    /**
     * Orders homes by their distance to an entry VM.
     *
     * @param homes the homes of a database
     * @param entryVm the entry VM that has a request
     * @return the entry VM itself if it is a home, then the homes in its failure domain, then the other homes, each
     *     group in its original order
     */
    public static List<HomeCandidate> nearestFirst(List<HomeCandidate> homes, HomeCandidate entryVm) {
        return homes.stream()
                .sorted(Comparator.comparingInt(home -> distance(home, entryVm)))
                .collect(ImmutableList.toImmutableList());
    }

    private @Nullable ScoredCandidate[] bestOfEachFailureDomain(long databaseHash) {
        @Nullable ScoredCandidate[] best = new ScoredCandidate[failureDomainCount];
        for (HashedCandidate candidate : candidates) {
            long score = RendezvousScores.score(databaseHash, candidate.hash());
            ScoredCandidate known = best[candidate.domain()];
            if (known == null || score > known.score()) {
                best[candidate.domain()] = new ScoredCandidate(candidate.candidate(), score);
            }
        }
        return best;
    }

    private void addHighest(long databaseHash, int count, Set<HomeCandidate> chosen) {
        List<ScoredCandidate> ranked = candidates.stream()
                .map(hashed ->
                        new ScoredCandidate(hashed.candidate(), RendezvousScores.score(databaseHash, hashed.hash())))
                .sorted(ScoredCandidate.HIGHEST_FIRST)
                .toList();
        for (ScoredCandidate scored : ranked) {
            if (chosen.size() < count) {
                chosen.add(scored.candidate());
            }
        }
    }

    private static int distance(HomeCandidate home, HomeCandidate entryVm) {
        if (home.entryVm().equals(entryVm.entryVm())) {
            return 0;
        }
        return home.failureDomain().equals(entryVm.failureDomain()) ? 1 : 2;
    }

    private record HashedCandidate(HomeCandidate candidate, int domain, long hash) {}

    private record ScoredCandidate(HomeCandidate candidate, long score) {
        private static final Comparator<ScoredCandidate> HIGHEST_FIRST = Comparator.comparingLong(
                        ScoredCandidate::score)
                .reversed()
                .thenComparing(scored -> scored.candidate().entryVm());
    }
}
