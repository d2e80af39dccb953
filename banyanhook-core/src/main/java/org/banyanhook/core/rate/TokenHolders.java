package org.banyanhook.core.rate;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.UnaryOperator;
import org.banyanhook.core.routing.RendezvousScores;

/**
 * Chooses the entry VMs among which the rate of a client account is divided, by rendezvous hashing: the same number in
 * each failure domain, or fewer holders than failure domains for an account of a small burst. With few holders, each
 * share stays above one token and a large fleet needs few peer links.
 *
 * <p>Load pattern: most accounts of a large fleet send a few requests a second, through any entry VM. If each failure
 * domain held a part of a burst of two tokens, no holder could ever lend a whole token, and each request would wait
 * until fractions have been collected from all of them.
 */
public final class TokenHolders {

    /** The share of the burst that a holder should have, so that most requests need no tokens of another holder. */
    private static final double MINIMUM_TOKENS_PER_HOLDER = 8;

    /** The share of the burst below which a holder mostly has less than a whole token to lend. */
    private static final double MINIMUM_LENDABLE_TOKENS = 2;

    /** More holders in one failure domain add peer links but no capacity. */
    private static final int MAXIMUM_HOLDERS_PER_DOMAIN = 3;

    private final Map<String, List<EntryVm>> byDomain = new TreeMap<>();
    private final UnaryOperator<String> regionOf;

    private record EntryVm(String name, long nameHash) {}

    /**
     * The entry VMs that hold the tokens of one client account.
     *
     * @param byDomain their names by failure domain, highest ranked first
     * @param count the number of holders
     */
    public record Holders(Map<String, List<String>> byDomain, int count) {

        /** Returns whether an entry VM is a holder. */
        public boolean contains(String entryVm) {
            return byDomain.values().stream().anyMatch(names -> names.contains(entryVm));
        }

        /**
         * Returns the holders in the order in which an entry VM requests tokens: those in its own failure domain first,
         * then those in its own region.
         *
         * @param entryVm the name of the requesting entry VM, which is not returned
         * @param failureDomain the failure domain of the requesting entry VM
         * @param regionOf returns the region of a failure domain
         */
        public List<String> nearestFirst(String entryVm, String failureDomain, UnaryOperator<String> regionOf) {
            String region = regionOf.apply(failureDomain);
            List<String> ordered = new ArrayList<>(byDomain.getOrDefault(failureDomain, List.of()));
            List<String> otherRegions = new ArrayList<>();
            byDomain.forEach((domain, names) -> {
                if (!domain.equals(failureDomain)) {
                    (regionOf.apply(domain).equals(region) ? ordered : otherRegions).addAll(names);
                }
            });
            ordered.addAll(otherRegions);
            ordered.remove(entryVm);
            return ordered;
        }
    }

    /**
     * Creates a selection among the entry VMs of a fleet.
     *
     * @param failureDomains the failure domain of each entry VM, by the name of the entry VM
     * @param regionOf returns the region of a failure domain
     */
    public TokenHolders(Map<String, String> failureDomains, UnaryOperator<String> regionOf) {
        this.regionOf = regionOf;
        failureDomains.forEach((name, domain) -> byDomain.computeIfAbsent(domain, unused -> new ArrayList<>())
                .add(new EntryVm(name, RendezvousScores.nameHash(name))));
    }

    /**
     * Chooses the holders of a client account.
     *
     * @param account the name of the client account
     * @param burst the burst of the client account, in tokens
     */
    public Holders choose(String account, double burst) {
        int domains = Math.max(1, byDomain.size());
        if (burst < domains * MINIMUM_LENDABLE_TOKENS) {
            return chooseFew(account, (int) Math.max(1, burst / MINIMUM_LENDABLE_TOKENS));
        }
        int holdersPerDomain =
                (int) Math.max(1, Math.min(MAXIMUM_HOLDERS_PER_DOMAIN, burst / (domains * MINIMUM_TOKENS_PER_HOLDER)));
        long accountHash = RendezvousScores.nameHash(account);
        Map<String, List<String>> chosen = new HashMap<>();
        int count = 0;
        for (Map.Entry<String, List<EntryVm>> domain : byDomain.entrySet()) {
            List<String> names = highestRanked(domain.getValue(), accountHash, holdersPerDomain);
            chosen.put(domain.getKey(), names);
            count += names.size();
        }
        return new Holders(new TreeMap<>(chosen), count);
    }

    /**
     * Chooses fewer holders than failure domains. The domains are ranked by the account as well, and those of regions
     * without a holder come first, so that a region that is cut off has a holder if there are enough of them.
     */
    private Holders chooseFew(String account, int count) {
        long accountHash = RendezvousScores.nameHash(account);
        List<String> ranked = byDomain.keySet().stream()
                .sorted(Comparator.comparingLong(
                        domain -> -RendezvousScores.score(accountHash, RendezvousScores.nameHash(domain))))
                .toList();
        Set<String> chosenDomains = new LinkedHashSet<>();
        Set<String> regions = new HashSet<>();
        for (String domain : ranked) {
            if (chosenDomains.size() < count && regions.add(regionOf.apply(domain))) {
                chosenDomains.add(domain);
            }
        }
        for (String domain : ranked) {
            if (chosenDomains.size() < count) {
                chosenDomains.add(domain);
            }
        }
        Map<String, List<String>> chosen = new TreeMap<>();
        chosenDomains.forEach(domain ->
                chosen.put(domain, highestRanked(requireNonNull(byDomain.get(domain), domain), accountHash, 1)));
        return new Holders(chosen, chosen.size());
    }

    /** Returns the entry VMs with the highest scores, highest first. Each score is computed once. */
    private static List<String> highestRanked(List<EntryVm> entryVms, long accountHash, int limit) {
        String[] names = new String[Math.min(limit, entryVms.size())];
        long[] scores = new long[names.length];
        int found = 0;
        for (EntryVm vm : entryVms) {
            long score = RendezvousScores.score(accountHash, vm.nameHash());
            int rank = found;
            while (rank > 0 && scores[rank - 1] < score) {
                rank--;
            }
            if (rank < names.length) {
                found = Math.min(found + 1, names.length);
                for (int index = found - 1; index > rank; index--) {
                    names[index] = names[index - 1];
                    scores[index] = scores[index - 1];
                }
                names[rank] = vm.name();
                scores[rank] = score;
            }
        }
        return List.of(names);
    }
}
