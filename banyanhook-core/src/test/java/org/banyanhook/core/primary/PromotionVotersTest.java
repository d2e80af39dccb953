package org.banyanhook.core.primary;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.Sets;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class PromotionVotersTest {

    @Test
    void selectsTheWholeOfASmallFleet() {
        assertThat(PromotionVoters.of(names(9))).isEqualTo(Set.copyOf(names(9)));
    }

    @Test
    void selectsNineOfALargeFleetInAnyOrder() {
        List<String> shuffled = names(2_200);
        Collections.reverse(shuffled);
        assertThat(PromotionVoters.of(names(2_200))).hasSize(9);
        assertThat(PromotionVoters.of(shuffled)).isEqualTo(PromotionVoters.of(names(2_200)));
    }

    @Test
    void removingOneEntryVmReplacesAtMostOneVoter() {
        Set<String> all = new HashSet<>(names(72));
        Set<String> before = PromotionVoters.of(all);
        for (String removed : names(72)) {
            Set<String> remaining = new HashSet<>(all);
            remaining.remove(removed);
            Set<String> after = PromotionVoters.of(remaining);
            assertThat(Sets.intersection(before, after).size()).isAtLeast(8);
        }
    }

    private static List<String> names(int count) {
        return IntStream.range(0, count).mapToObj(number -> "edge-" + number).collect(Collectors.toList());
    }
}
