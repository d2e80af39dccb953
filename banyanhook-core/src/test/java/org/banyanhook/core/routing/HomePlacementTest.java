package org.banyanhook.core.routing;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests that all entry VMs choose the same homes, spread over failure domains, with few moves. */
class HomePlacementTest {

    private static List<HomeCandidate> fleet(int size) {
        return IntStream.range(0, size)
                .mapToObj(index -> new HomeCandidate("vm-" + index, "domain-" + index % 3))
                .toList();
    }

    @Test
    void doesNotDependOnTheOrderOfCandidates() {
        for (long seed = 1; seed <= 50; seed++) {
            List<HomeCandidate> shuffled = new ArrayList<>(fleet(9));
            Collections.shuffle(shuffled, new Random(seed));
            assertWithMessage("seed %s", seed)
                    .that(HomePlacement.homes("db-" + seed, shuffled, 3))
                    .isEqualTo(HomePlacement.homes("db-" + seed, fleet(9), 3));
        }
    }

    @Test
    void spreadsHomesOverFailureDomains() {
        for (int database = 0; database < 100; database++) {
            List<HomeCandidate> homes = HomePlacement.homes("db-" + database, fleet(9), 3);
            assertThat(homes.stream().map(HomeCandidate::failureDomain).distinct())
                    .hasSize(3);
        }
    }

    @Test
    void choosesAllHomesFromOneFailureDomainWhenTheOthersAreGone() {
        List<HomeCandidate> alone = fleet(9).stream()
                .filter(candidate -> candidate.failureDomain().equals("domain-1"))
                .toList();
        assertThat(HomePlacement.homes("db", alone, 3)).hasSize(3);
        assertThat(HomePlacement.homes("db", alone.subList(0, 1), 3)).hasSize(1);
        assertThat(HomePlacement.homes("db", List.of(), 3)).isEmpty();
    }

    @Test
    void losingOneCandidateMovesOnlyItsOwnHomes() {
        for (int database = 0; database < 300; database++) {
            String name = "db-" + database;
            List<HomeCandidate> before = HomePlacement.homes(name, fleet(9), 3);
            HomeCandidate lost = fleet(9).get(database % 9);
            List<HomeCandidate> rest = fleet(9).stream()
                    .filter(candidate -> !candidate.equals(lost))
                    .toList();
            List<HomeCandidate> after = new ArrayList<>(HomePlacement.homes(name, rest, 3));
            after.removeAll(before);
            assertWithMessage(name).that(after).hasSize(before.contains(lost) ? 1 : 0);
        }
    }

    @Test
    void dividesDatabasesEvenly() {
        Map<String, Integer> counts = new HashMap<>();
        for (int database = 0; database < 3000; database++) {
            for (HomeCandidate home : HomePlacement.homes("db-" + database, fleet(9), 3)) {
                counts.merge(home.entryVm(), 1, Integer::sum);
            }
        }
        assertThat(counts).hasSize(9);
        assertThat(Collections.max(counts.values())).isLessThan(1250);
        assertThat(Collections.min(counts.values())).isGreaterThan(750);
    }

    @Test
    void ordersHomesByDistance() {
        HomeCandidate self = new HomeCandidate("vm-4", "domain-1");
        List<HomeCandidate> homes = List.of(
                new HomeCandidate("vm-0", "domain-0"),
                new HomeCandidate("vm-1", "domain-1"),
                new HomeCandidate("vm-2", "domain-2"),
                self);
        assertThat(HomePlacement.nearestFirst(homes, self))
                .containsExactly(self, homes.get(1), homes.get(0), homes.get(2))
                .inOrder();
    }
}
