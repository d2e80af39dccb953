package org.banyanhook.core.scheduling;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests which daemons receive a report. */
final class ReportTargetsTest {

    /** A neighbour that is left out knows nothing of what the sender has learned. */
    @Test
    void eachNeighbourIsReachedWithinTheRounds() {
        for (int size = 0; size <= ReportTargets.ROUNDS * ReportTargets.MAXIMUM_TARGETS; size++) {
            List<String> neighbours =
                    IntStream.range(0, size).mapToObj(Integer::toString).toList();
            Set<String> reached = new HashSet<>();
            for (int round = 7; round < 7 + ReportTargets.ROUNDS; round++) {
                List<String> targets = ReportTargets.select(neighbours, round);
                assertThat(targets.size()).isAtMost(ReportTargets.MAXIMUM_TARGETS);
                reached.addAll(targets);
            }
            assertThat(reached).hasSize(size);
        }
    }
}
