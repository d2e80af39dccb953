package org.banyanhook.core.rate;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.banyanhook.core.routing.RendezvousScores;

/**
 * Chooses the entry VMs among which the rate of a client account is divided: the same number in each failure domain, by
 * rendezvous hashing. Few holders keep the parts above a token and the links between entry VMs few in a large fleet.
 */
public final class TokenHolders {

    /** A holder's part of the burst should be this many tokens, so that most requests need no other holder. */
    private static final double MINIMUM_TOKENS_PER_HOLDER = 8;

    /** More holders than this in one failure domain add links and no capacity. */
    private static final int MAXIMUM_HOLDERS_PER_DOMAIN = 3;

    private final Map<String, List<EntryVm>> byDomain = new TreeMap<>();

    private record EntryVm(String name, long nameHash) {}

    /**
     * The entry VMs that hold the tokens of one account.
     *
     * @param byDomain their names, the best-ranked first, by failure domain
     * @param count how many there are
     */
    public record Holders(Map<String, List<String>> byDomain, int count) {

        /** Returns whether an entry VM holds a part. */
        public boolean contains(String entryVm) {
            return byDomain.values().stream().anyMatch(names -> names.contains(entryVm));
        }

        /**
         * Returns the holders in the order in which an entry VM should ask them: those of its own failure domain first.
         *
         * @param entryVm who asks; it is left out
         * @param failureDomain its failure domain
         */
        public List<String> nearestFirst(String entryVm, String failureDomain) {
            List<String> ordered = new ArrayList<>(byDomain.getOrDefault(failureDomain, List.of()));
            byDomain.forEach((domain, names) -> {
                if (!domain.equals(failureDomain)) {
                    ordered.addAll(names);
                }
            });
            ordered.remove(entryVm);
            return ordered;
        }
    }

    /**
     * Prepares the choice.
     *
     * @param failureDomains the failure domain of each entry VM by name
     */
    public TokenHolders(Map<String, String> failureDomains) {
        failureDomains.forEach((name, domain) -> byDomain.computeIfAbsent(domain, unused -> new ArrayList<>())
                .add(new EntryVm(name, RendezvousScores.nameHash(name))));
    }

    /**
     * Chooses the holders of an account.
     *
     * @param account its name
     * @param burst its burst in tokens
     */
    public Holders choose(String account, double burst) {
        int domains = Math.max(1, byDomain.size());
        int holdersPerDomain =
                (int) Math.max(1, Math.min(MAXIMUM_HOLDERS_PER_DOMAIN, burst / (domains * MINIMUM_TOKENS_PER_HOLDER)));
        long accountHash = RendezvousScores.nameHash(account);
        Map<String, List<String>> chosen = new HashMap<>();
        int count = 0;
        for (Map.Entry<String, List<EntryVm>> domain : byDomain.entrySet()) {
            List<String> names = domain.getValue().stream()
                    .sorted(Comparator.comparingLong((EntryVm vm) -> RendezvousScores.score(accountHash, vm.nameHash()))
                            .reversed())
                    .limit(holdersPerDomain)
                    .map(EntryVm::name)
                    .toList();
            chosen.put(domain.getKey(), names);
            count += names.size();
        }
        return new Holders(new TreeMap<>(chosen), count);
    }
}
