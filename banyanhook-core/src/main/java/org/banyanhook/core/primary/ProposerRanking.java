package org.banyanhook.core.primary;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.banyanhook.core.routing.RendezvousScores;

/**
 * Ranks the entry VMs that monitor a database and may propose a primary, by rendezvous hashing.
 *
 * <p>The first candidate of every failure domain ranks before the second of any, so that candidates remain when one
 * failure domain is cut off. Safety does not depend on the ranking; daemons may temporarily rank differently.
 * Immutable.
 */
public final class ProposerRanking {

    /** The maximum number of candidates of a database. */
    public static final int MAXIMUM_CANDIDATES = 6;

    private static final int CANDIDATES_PER_FAILURE_DOMAIN = 2;

    private final ImmutableList<Candidate> candidates;
    private final int failureDomainCount;

    private ProposerRanking(ImmutableList<Candidate> candidates, int failureDomainCount) {
        this.candidates = candidates;
        this.failureDomainCount = failureDomainCount;
    }

    /**
     * Creates a ranking.
     *
     * @param failureDomains the failure domain of each live entry VM, by the name of the entry VM
     * @return the ranking
     */
    public static ProposerRanking of(Map<String, String> failureDomains) {
        ImmutableList.Builder<Candidate> candidates = ImmutableList.builder();
        Map<String, Integer> domainNumbers = new LinkedHashMap<>();
        failureDomains.forEach((entryVm, failureDomain) -> {
            Integer known = domainNumbers.putIfAbsent(failureDomain, domainNumbers.size());
            int domain = known == null ? domainNumbers.size() - 1 : known;
            candidates.add(new Candidate(entryVm, domain, RendezvousScores.nameHash(entryVm)));
        });
        return new ProposerRanking(candidates.build(), domainNumbers.size());
    }

    /**
     * Returns the candidates of a database.
     *
     * @param database the name of the database
     * @return the names of at most {@value #MAXIMUM_CANDIDATES} entry VMs, in the order in which they act
     */
    public List<String> candidates(String database) {
        long databaseHash = RendezvousScores.nameHash(database);
        ScoredEntryVm[][] bestByDomain = new ScoredEntryVm[failureDomainCount][CANDIDATES_PER_FAILURE_DOMAIN];
        for (Candidate candidate : candidates) {
            insertByScore(
                    bestByDomain[candidate.domain()],
                    candidate.entryVm(),
                    RendezvousScores.score(databaseHash, candidate.hash()));
        }
        List<String> ranked = new ArrayList<>();
        for (int rankInDomain = 0; rankInDomain < CANDIDATES_PER_FAILURE_DOMAIN; rankInDomain++) {
            int column = rankInDomain;
            Arrays.stream(bestByDomain)
                    .map(bestOfDomain -> bestOfDomain[column])
                    .filter(Objects::nonNull)
                    .sorted(Comparator.comparingLong(ScoredEntryVm::score).reversed())
                    .forEach(scored -> ranked.add(scored.entryVm()));
        }
        return ImmutableList.copyOf(ranked.subList(0, Math.min(MAXIMUM_CANDIDATES, ranked.size())));
    }

    /**
     * Returns the rank of an entry VM for a database.
     *
     * @param database the name of the database
     * @param entryVm the name of the entry VM
     * @return the rank, 0 for the first to act, -1 if it is not a candidate
     */
    public int rank(String database, String entryVm) {
        checkArgument(!entryVm.isEmpty(), "name of an entry VM must not be empty");
        return candidates(database).indexOf(entryVm);
    }

    private static void insertByScore(ScoredEntryVm[] best, String entryVm, long score) {
        if (best[0] == null || score > best[0].score()) {
            best[1] = best[0];
            best[0] = new ScoredEntryVm(entryVm, score);
        } else if (best[1] == null || score > best[1].score()) {
            best[1] = new ScoredEntryVm(entryVm, score);
        }
    }

    private record Candidate(String entryVm, int domain, long hash) {}

    private record ScoredEntryVm(String entryVm, long score) {}
}
