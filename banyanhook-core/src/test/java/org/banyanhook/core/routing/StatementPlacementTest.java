package org.banyanhook.core.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.banyanhook.core.routing.StatementPlacement.Access;
import org.banyanhook.core.routing.StatementPlacement.Candidate;
import org.junit.jupiter.api.Test;

/** Tests that the member with the lowest expected latency is chosen. */
final class StatementPlacementTest {

    @Test
    void withoutCandidatesTheChoiceIsEmpty() {
        assertThat(StatementPlacement.choose(List.of())).isEmpty();
    }

    @Test
    void choosesTheMemberWithTheLowestExpectedLatency() {
        Candidate slow = new Candidate("a", Access.IDLE_CONNECTION, 20);
        Candidate quick = new Candidate("b", Access.NEW_CONNECTION, 19);
        assertThat(StatementPlacement.choose(List.of(slow, quick))).hasValue(quick);
    }

    @Test
    void prefersAnIdleConnectionAtEqualLatency() {
        Candidate opening = new Candidate("a", Access.NEW_CONNECTION, 20);
        Candidate idle = new Candidate("b", Access.IDLE_CONNECTION, 20);
        assertThat(StatementPlacement.choose(List.of(opening, idle))).hasValue(idle);
    }
}
