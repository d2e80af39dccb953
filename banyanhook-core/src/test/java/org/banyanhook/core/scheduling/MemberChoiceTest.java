package org.banyanhook.core.scheduling;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.banyanhook.core.scheduling.MemberChoice.Access;
import org.banyanhook.core.scheduling.MemberChoice.Candidate;
import org.junit.jupiter.api.Test;

/** Tests that the member with the lowest cost is chosen. */
final class MemberChoiceTest {

    @Test
    void withoutCandidatesTheChoiceIsEmpty() {
        assertThat(MemberChoice.choose(List.of())).isEmpty();
    }

    @Test
    void choosesTheMemberWithTheLowestExpectedLatency() {
        Candidate slow = idle("a", 20, 0);
        Candidate quick = idle("b", 19, 0);
        assertThat(MemberChoice.choose(List.of(slow, quick))).hasValue(quick);
    }

    @Test
    void newConnectionCostsAsMuchAsAShortStatement() {
        Candidate opening = new Candidate("a", Access.NEW_CONNECTION, 5, 0, false);
        assertThat(MemberChoice.choose(List.of(opening, idle("b", 24, 0)))).hasValue(idle("b", 24, 0));
        assertThat(MemberChoice.choose(List.of(opening, idle("b", 26, 0)))).hasValue(opening);
    }

    @Test
    void prefersAnIdleConnectionAtEqualCost() {
        Candidate opening = new Candidate("a", Access.NEW_CONNECTION, 5, 0, false);
        assertThat(MemberChoice.choose(List.of(opening, idle("b", 25, 0)))).hasValue(idle("b", 25, 0));
    }

    @Test
    void statementsInFlightCountAsQueue() {
        assertThat(MemberChoice.choose(List.of(idle("a", 10, 3), idle("b", 30, 0))))
                .hasValue(idle("b", 30, 0));
    }

    @Test
    void memberInAnotherRegionIsChosenOnlyIfItIsMuchFaster() {
        Candidate far = new Candidate("a", Access.IDLE_CONNECTION, 10, 0, true);
        assertThat(MemberChoice.choose(List.of(far, idle("b", 30, 0)))).hasValue(idle("b", 30, 0));
        assertThat(MemberChoice.choose(List.of(far, idle("b", 40, 0)))).hasValue(far);
    }

    private static Candidate idle(String member, double latencyMillis, int inFlight) {
        return new Candidate(member, Access.IDLE_CONNECTION, latencyMillis, inFlight, false);
    }
}
