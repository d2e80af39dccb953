package org.banyanhook.core.primary;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class ProposerRankingTest {

    @Test
    void firstCandidatesLieInDifferentFailureDomains() {
        Map<String, String> fleet = fleet(9, 3);
        ProposerRanking ranking = ProposerRanking.of(fleet);
        for (int number = 0; number < 100; number++) {
            List<String> candidates = ranking.candidates("database-" + number);
            Set<String> domains = new LinkedHashSet<>();
            candidates.subList(0, 3).forEach(candidate -> domains.add(fleet.get(candidate)));
            assertThat(domains).hasSize(3);
            assertThat(candidates).containsNoDuplicates();
        }
    }

    @Test
    void spreadsDatabasesOverALargeFleet() {
        ProposerRanking ranking = ProposerRanking.of(fleet(2200, 3));
        Map<String, Integer> firsts = new HashMap<>();
        for (int number = 0; number < 4200; number++) {
            firsts.merge(ranking.candidates("database-" + number).get(0), 1, Integer::sum);
        }
        assertThat(firsts.values().stream().mapToInt(count -> count).max().orElse(0))
                .isAtMost(14);
        assertThat(firsts.size()).isAtLeast(1700);
    }

    @Test
    void removingAnEntryVmReassignsOnlyItsDatabases() {
        Map<String, String> fleet = fleet(30, 3);
        ProposerRanking before = ProposerRanking.of(fleet);
        fleet.remove("entry-7");
        ProposerRanking after = ProposerRanking.of(fleet);
        for (int number = 0; number < 300; number++) {
            String database = "database-" + number;
            if (!before.candidates(database).get(0).equals("entry-7")) {
                assertThat(after.candidates(database).get(0))
                        .isEqualTo(before.candidates(database).get(0));
            }
        }
    }

    private static Map<String, String> fleet(int size, int domains) {
        Map<String, String> fleet = new HashMap<>();
        for (int number = 0; number < size; number++) {
            fleet.put("entry-" + number, "d" + number % domains);
        }
        return fleet;
    }
}
