package org.banyanhook.core.primary;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.Sets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

final class VoterSelectionTest {

    /** The first letter of a failure domain is its region. */
    private static final UnaryOperator<String> REGION = domain -> domain.substring(0, 1);

    @Test
    void selectsTheWholeOfASmallFleetOfOneFailureDomain() {
        assertThat(select(fleet("a1", 9))).hasSize(9);
    }

    @Test
    void selectsNineOfALargeFleetInAnyOrder() {
        Map<String, String> fleet = fleet("a1", 1_000, "b1", 1_000, "c1", 200);
        Map<String, String> reversed = new LinkedHashMap<>();
        List<String> names = new ArrayList<>(fleet.keySet());
        Collections.reverse(names);
        names.forEach(name -> reversed.put(name, fleet.get(name)));
        assertThat(select(fleet)).hasSize(9);
        assertThat(select(reversed)).isEqualTo(select(fleet));
    }

    /** Guards against a region that is the majority by itself while it is cut off (review cases 11, 12 and 15). */
    @Test
    void noRegionHasMoreThanHalfOfTheVoters() {
        for (int first = 1; first <= 12; first++) {
            for (int second = 1; second <= 12; second++) {
                for (int third = 0; third <= 12; third++) {
                    Map<String, String> fleet = fleet("a1", first, "b1", second, "b2", third, "c1", third / 2);
                    Set<String> voters = select(fleet);
                    Map<String, Long> counts = voters.stream()
                            .collect(Collectors.groupingBy(
                                    name -> REGION.apply(fleet.get(name)), Collectors.counting()));
                    assertWithMessage("%s of %s", voters, fleet)
                            .that(counts.values().stream().allMatch(count -> count * 2 <= voters.size()))
                            .isTrue();
                    assertThat(voters.size()).isAtLeast(Math.min(2, fleet.size()));
                }
            }
        }
    }

    @Test
    void noFailureDomainOfAFleetInOneRegionHasMoreThanHalfOfTheVoters() {
        Set<String> voters = select(fleet("a1", 20, "a2", 1, "a3", 2));
        assertThat(voters).hasSize(6);
        assertThat(voters.stream().filter(name -> name.startsWith("a1"))).hasSize(3);
    }

    @Test
    void failureDomainsOfARegionTakeTurns() {
        Set<String> voters = select(fleet("a1", 20, "a2", 20, "b1", 20, "c1", 20));
        assertThat(voters.stream().filter(name -> name.startsWith("a1")).count())
                .isAtLeast(1);
        assertThat(voters.stream().filter(name -> name.startsWith("a2")).count())
                .isAtLeast(1);
    }

    @Test
    void removingOneEntryVmReplacesAtMostOneVoter() {
        Map<String, String> fleet = fleet("a1", 24, "b1", 24, "c1", 12, "c2", 12);
        Set<String> before = select(fleet);
        for (String removed : fleet.keySet()) {
            Map<String, String> remaining = new HashMap<>(fleet);
            remaining.remove(removed);
            Set<String> after = VoterSelection.select(remaining, REGION, before);
            assertThat(Sets.intersection(before, after).size()).isAtLeast(8);
        }
    }

    @Test
    void presentVotersStayWhenOthersJoin() {
        Map<String, String> fleet = fleet("a1", 3, "b1", 3, "c1", 3);
        Set<String> before = select(fleet);
        Map<String, String> grown = fleet("a1", 30, "b1", 30, "c1", 30);
        assertThat(VoterSelection.select(grown, REGION, before)).isEqualTo(before);
    }

    private static Set<String> select(Map<String, String> fleet) {
        return VoterSelection.select(fleet, REGION, Set.of());
    }

    /** Creates a fleet from pairs of a failure domain and the number of its entry VMs. */
    private static Map<String, String> fleet(Object... domainsAndCounts) {
        Map<String, String> fleet = new LinkedHashMap<>();
        for (int index = 0; index < domainsAndCounts.length; index += 2) {
            String domain = (String) domainsAndCounts[index];
            for (int number = 0; number < (int) domainsAndCounts[index + 1]; number++) {
                fleet.put(domain + "-" + number, domain);
            }
        }
        return fleet;
    }
}
