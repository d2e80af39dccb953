package org.banyanhook.core.primary;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import org.banyanhook.core.routing.RendezvousScores;

/**
 * Selects the voters: few of a large fleet, so that an outage of the store does not make every entry VM query every
 * other, and spread so that no region has more than half of them, or no failure domain of a fleet in one region. A
 * region that is cut off is then never the majority, so the others need not wait for it.
 */
public final class VoterSelection {

    /** Large enough that one or two failure domains may be missing, small enough to be queried by a whole fleet. */
    public static final int MAXIMUM_VOTERS = 9;

    private static final long KEY_HASH = RendezvousScores.nameHash("replacement-witnesses");

    private VoterSelection() {}

    /**
     * Selects the voters.
     *
     * @param domains the failure domain of each entry VM
     * @param regionOf returns the region of a failure domain
     * @param present the present voters, which are preferred
     * @return the voters; none if there are no entry VMs
     */
    public static Set<String> select(Map<String, String> domains, UnaryOperator<String> regionOf, Set<String> present) {
        Map<String, List<String>> groups = group(domains, domain -> regionOf.apply(domain));
        if (groups.size() < 2) {
            groups = group(domains, Function.identity());
        }
        List<List<String>> ordered = groups.values().stream()
                .map(names -> spread(names, domains, present))
                .toList();
        return groups.size() < 2
                ? ordered.stream()
                        .flatMap(Collection::stream)
                        .limit(MAXIMUM_VOTERS)
                        .collect(ImmutableSet.toImmutableSet())
                : selectSpread(ordered, Math.min(MAXIMUM_VOTERS, domains.size()));
    }

    private static Map<String, List<String>> group(Map<String, String> domains, Function<String, String> groupOf) {
        return domains.keySet().stream()
                .collect(Collectors.groupingBy(
                        name -> groupOf.apply(domains.get(name)), TreeMap::new, Collectors.toList()));
    }

    /** Orders entry VMs so that their failure domains alternate, and present voters come first in each. */
    private static List<String> spread(Collection<String> names, Map<String, String> domains, Set<String> present) {
        Map<String, Long> scores = new HashMap<>();
        names.forEach(name -> scores.put(name, RendezvousScores.score(KEY_HASH, RendezvousScores.nameHash(name))));
        List<String> ranked = names.stream()
                .sorted(Comparator.comparing((String name) -> !present.contains(name))
                        .thenComparing(scores::get, Comparator.reverseOrder()))
                .toList();
        Map<String, Integer> positions = new HashMap<>();
        Map<String, Integer> seen = new HashMap<>();
        ranked.forEach(name -> positions.put(name, seen.merge(domains.get(name), 1, Integer::sum)));
        return ranked.stream().sorted(Comparator.comparing(positions::get)).toList();
    }

    /** Selects the largest number of voters of which no group has more than half. */
    private static Set<String> selectSpread(List<List<String>> groups, int maximum) {
        for (int count = maximum; count >= 2; count--) {
            Set<String> selected = selectInTurn(groups, count, count / 2);
            if (selected.size() == count) {
                return selected;
            }
        }
        throw new IllegalArgumentException("two groups or more are required, not " + groups.size());
    }

    private static Set<String> selectInTurn(List<List<String>> groups, int count, int maximumPerGroup) {
        List<String> selected = new ArrayList<>();
        for (int turn = 0; turn < maximumPerGroup; turn++) {
            for (List<String> group : groups) {
                if (turn < group.size() && selected.size() < count) {
                    selected.add(group.get(turn));
                }
            }
        }
        return ImmutableSet.copyOf(selected);
    }
}
