package org.banyanhook.core.scheduling;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
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

    /** With the same information, all daemons chose the same of two equal members. */
    @Test
    void drawsSpreadRequestsOverMembersOfEqualCost() {
        List<Candidate> equal = List.of(idle("a", 15, 0), idle("b", 15, 0));
        assertThat(MemberChoice.choose(equal, 0.49)).hasValue(equal.get(0));
        assertThat(MemberChoice.choose(equal, 0.51)).hasValue(equal.get(1));
    }

    /** A slow member that gets no requests is never seen to recover. */
    @Test
    void slowMemberKeepsAFewRequests() {
        assertThat(share(idle("slow", 75, 0), idle("quick", 15, 0)))
                .isWithin(0.002)
                .of(0.01);
    }

    /** Traffic between regions is charged for, also that of requests drawn at random. */
    @Test
    void memberOfAnotherRegionIsDrawnOnlyIfItIsTheCheapest() {
        Candidate far = new Candidate("far", Access.IDLE_CONNECTION, 15, true, false);
        assertThat(share(far, idle("near", 30, 0))).isEqualTo(0.0);
        assertThat(share(far, idle("near", 100, 0))).isGreaterThan(0.9);
    }

    /** Reads filled the primary, where writes have no alternative. */
    @Test
    void readsAvoidAReservedPrimary() {
        Candidate primary = new Candidate("primary", Access.IDLE_CONNECTION, 15, false, true);
        assertThat(share(primary, idle("replica", 15, 0))).isLessThan(0.3);
        assertThat(MemberChoice.choose(List.of(primary), 0.5)).hasValue(primary);
    }

    @Test
    void drawsWithoutCandidatesChooseNone() {
        assertThat(MemberChoice.choose(List.of(), 0.5)).isEmpty();
    }

    private static double share(Candidate candidate, Candidate other) {
        int chosen = 0;
        for (int draw = 0; draw < 1_000; draw++) {
            chosen += MemberChoice.choose(List.of(candidate, other), draw / 1e3).equals(Optional.of(candidate)) ? 1 : 0;
        }
        return chosen / 1e3;
    }

    private static Candidate idle(String member, double latencyMillis, int inFlight) {
        return new Candidate(member, Access.IDLE_CONNECTION, latencyMillis, inFlight, false);
    }
}
