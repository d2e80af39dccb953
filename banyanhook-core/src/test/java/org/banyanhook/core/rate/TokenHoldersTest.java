package org.banyanhook.core.rate;

import static com.google.common.truth.Truth.assertThat;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;
import org.banyanhook.core.routing.RendezvousScores;
import org.junit.jupiter.api.Test;

/** Tests the number, the spread and the order of the holders in small and large fleets. */
final class TokenHoldersTest {

    @Test
    void largeAccountInASmallFleetIsHeldByEveryEntryVm() {
        assertThat(holders(9, 3).choose("orders", 200).count()).isEqualTo(9);
    }

    @Test
    void smallAccountHasOneHolderInEachFailureDomain() {
        TokenHolders.Holders chosen = holders(72, 6).choose("orders", 17);
        assertThat(chosen.count()).isEqualTo(6);
        assertThat(chosen.byDomain()).hasSize(6);
    }

    @Test
    void holderCountIsLimitedInALargeFleet() {
        for (double burst : new double[] {48, 132, 1_000}) {
            TokenHolders.Holders chosen = holders(2_200, 24).choose("orders", burst);
            assertThat(chosen.count()).isAtMost(72);
            assertThat(chosen.count()).isAtLeast(24);
        }
        for (double burst : new double[] {2, 17, 40}) {
            assertThat(holders(2_200, 24).choose("orders", burst).count()).isEqualTo((int) burst / 2);
        }
    }

    @Test
    void everyEntryVmChoosesTheSameHolders() {
        TokenHolders.Holders first = holders(72, 6).choose("orders", 132);
        TokenHolders.Holders second = holders(72, 6).choose("orders", 132);
        assertThat(first).isEqualTo(second);
    }

    @Test
    void holdersInTheOwnFailureDomainComeFirstAndTheEntryVmItselfIsLeftOut() {
        TokenHolders.Holders chosen = holders(72, 6).choose("orders", 132);
        String self = chosen.nearestFirst("edge-none", "domain-2", UnaryOperator.identity())
                .get(0);
        assertThat(chosen.byDomain()).containsKey("domain-2");
        assertThat(chosen.byDomain().get("domain-2")).contains(self);
        assertThat(chosen.contains(self)).isTrue();
        assertThat(chosen.nearestFirst(self, "domain-2", UnaryOperator.identity()))
                .doesNotContain(self);
        assertThat(chosen.nearestFirst("edge-none", "domain-2", UnaryOperator.identity()))
                .hasSize(chosen.count());
    }

    @Test
    void accountsAreSpreadOverTheFleet() {
        TokenHolders fleet = holders(72, 6);
        Set<String> used = new HashSet<>();
        for (int account = 0; account < 78; account++) {
            fleet.choose("account-" + account, 17).byDomain().values().forEach(used::addAll);
        }
        assertThat(used.size()).isAtLeast(60);
    }

    /** Guards against a burst that is divided so finely that no holder can lend a whole token. */
    @Test
    void accountOfASmallBurstHasFewHoldersInDifferentRegions() {
        TokenHolders fleet = holders(63, 6);
        assertThat(fleet.choose("orders", 1.7).count()).isEqualTo(1);
        TokenHolders.Holders three = fleet.choose("orders", 7);
        assertThat(three.count()).isEqualTo(3);
        Set<Integer> regions = new HashSet<>();
        three.byDomain().keySet().forEach(domain -> regions.add(Integer.parseInt(domain.substring(7)) % 3));
        assertThat(regions).hasSize(3);
    }

    /** Guards against requests for tokens that leave the region although a holder is in it. */
    @Test
    void holdersInTheOwnRegionComeBeforeOthers() {
        TokenHolders.Holders chosen = holders(72, 6).choose("orders", 17);
        UnaryOperator<String> regionOf = domain -> "region-" + Integer.parseInt(domain.substring(7)) % 3;
        List<String> ordered = chosen.nearestFirst("edge-none", "domain-5", regionOf);
        assertThat(chosen.byDomain().get("domain-5")).containsExactly(ordered.get(0));
        assertThat(chosen.byDomain().get("domain-2")).containsExactly(ordered.get(1));
    }

    @Test
    void holdersAreThoseWithTheHighestScores() {
        long accountHash = RendezvousScores.nameHash("orders");
        List<String> expected = IntStream.range(0, 50)
                .mapToObj(number -> "edge-" + number)
                .sorted(Comparator.comparingLong(
                                (String name) -> RendezvousScores.score(accountHash, RendezvousScores.nameHash(name)))
                        .reversed())
                .limit(3)
                .toList();
        assertThat(holders(50, 1).choose("orders", 200).byDomain()).containsExactly("domain-0", expected);
    }

    private static TokenHolders holders(int entryVms, int domains) {
        Map<String, String> failureDomains = new HashMap<>();
        for (int number = 0; number < entryVms; number++) {
            failureDomains.put("edge-" + number, "domain-" + number % domains);
        }
        return new TokenHolders(failureDomains, domain -> "region-" + Integer.parseInt(domain.substring(7)) % 3);
    }
}
