package org.banyanhook.core.membership;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the precedence of membership updates, refutation, and failure detection under faults. */
final class MembershipStateTest {

    private static final MembershipTimings TIMINGS = new MembershipTimings(1_000, 2_000, 100_000);
    private static final int UPDATES_PER_MESSAGE = 6;

    private final MembershipState state = stateOf("a");

    /** Columns: the known record of a member, an update of the member, and the record after the update. */
    @ParameterizedTest
    @CsvSource({
        "5, ALIVE, 5, SUSPECT, 5, SUSPECT",
        "5, SUSPECT, 5, ALIVE, 5, SUSPECT",
        "5, SUSPECT, 6, ALIVE, 6, ALIVE",
        "5, DEAD, 5, ALIVE, 5, DEAD",
        "5, DEAD, 4, ALIVE, 5, DEAD",
        "5, DEAD, 5, LEAVING, 5, DEAD",
        "5, DEAD, 9, ALIVE, 9, ALIVE",
        "5, LEAVING, 5, SUSPECT, 5, LEAVING",
        "5, LEAVING, 5, DEAD, 5, DEAD",
        "5, ALIVE, 4, DEAD, 5, ALIVE"
    })
    void newerUpdateWins(
            long knownIncarnation,
            MemberState known,
            long updateIncarnation,
            MemberState update,
            long expectedIncarnation,
            MemberState expected) {
        state.onContact(member("b", knownIncarnation, MemberState.ALIVE), 0);
        state.onUpdates(List.of(member("b", knownIncarnation, known)), 0);
        state.onUpdates(List.of(member("b", updateIncarnation, update)), 0);
        assertThat(state.find("b")).hasValue(member("b", expectedIncarnation, expected));
    }

    /** Columns: the address, incarnation and state in an update of the member itself, and its incarnation after it. */
    @ParameterizedTest
    @CsvSource({
        "same, 7, SUSPECT, 8",
        "same, 7, DEAD, 8",
        "same, 7, ALIVE, 7",
        "same, 6, DEAD, 7",
        "same, 9, ALIVE, 10",
        "other, 9, ALIVE, 7",
        "other, 9, SUSPECT, 7",
        "other, 9, DEAD, 10"
    })
    void refutesUpdatesOfItselfButNotOfItsSuccessor(
            String address, long incarnation, MemberState update, long expectedIncarnation) {
        Member about = new Member("a", "d1", address.equals("same") ? "address-a" : "elsewhere", incarnation, update);
        state.onUpdates(List.of(about), 0);
        assertThat(state.self().incarnation()).isEqualTo(expectedIncarnation);
    }

    @Test
    void memberThatDoesNotAnswerBecomesSuspectThenDeadThenIsRemoved() {
        Member target = member("b", 5, MemberState.ALIVE);
        state.onContact(target, 0);
        assertThat(state.onProbeUnanswered(target, 100)).hasSize(1);
        assertThat(state.onTick(1_099)).isEmpty();
        assertThat(state.onTick(1_100)).hasSize(1);
        assertThat(state.running()).hasSize(1);
        assertThat(state.chooseReconnection(3)).isPresent();
        state.onTick(200_000);
        assertThat(state.find("b")).isEmpty();
    }

    @Test
    void probeThatFailsAfterARefutationRaisesNoSuspicion() {
        Member probed = member("b", 5, MemberState.ALIVE);
        state.onContact(probed, 0);
        state.onContact(member("b", 6, MemberState.ALIVE), 50);
        assertThat(state.onProbeUnanswered(probed, 100)).isEmpty();
    }

    @Test
    void leavingMemberAnnouncesItAndDoesNotRefuteItsDeath() {
        state.leave();
        state.onUpdates(List.of(member("a", 7, MemberState.ALIVE)), 0);
        state.onUpdates(List.of(member("a", 7, MemberState.DEAD)), 0);
        assertThat(state.updatesFor("b")).contains(member("a", 7, MemberState.LEAVING));
    }

    @Test
    void everyMessageToASuspectMemberContainsItsRecord() {
        state.onContact(member("b", 5, MemberState.ALIVE), 0);
        state.onProbeUnanswered(member("b", 5, MemberState.ALIVE), 0);
        for (int i = 0; i < 100; i++) {
            assertThat(state.updatesFor("b")).contains(member("b", 5, MemberState.SUSPECT));
        }
    }

    @Test
    void updatesPerMessageAndProbedMembersAreBounded() {
        for (int i = 0; i < 2_199; i++) {
            state.onContact(member("vm-" + i, 1, MemberState.ALIVE), 0);
        }
        Set<String> probed = new TreeSet<>();
        for (long random = 0; random < 1_000; random++) {
            assertThat(state.updatesFor("vm-1").size()).isAtMost(UPDATES_PER_MESSAGE);
            state.chooseProbe(random).ifPresent(target -> probed.add(target.name()));
        }
        assertThat(probed).hasSize(16);
    }

    @Test
    void randomInterleavingsConvergeToTheRunningMembers() {
        for (long seed = 1; seed <= 40; seed++) {
            MembershipSimulation simulation = new MembershipSimulation(seed, 9);
            simulation.run(20_000, 0.2);
            simulation.partition();
            simulation.run(20_000, 0.2);
            simulation.heal();
            simulation.kill(2);
            simulation.restart(5);
            simulation.run(30_000, 0.2);
            simulation.run(30_000, 0);
            assertWithMessage("seed %s", seed).that(simulation.incorrectViews()).isEmpty();
        }
    }

    static MembershipState stateOf(String name) {
        return new MembershipState(member(name, 7, MemberState.ALIVE), TIMINGS, UPDATES_PER_MESSAGE);
    }

    static Member member(String name, long incarnation, MemberState memberState) {
        return new Member(name, "d1", "address-" + name, incarnation, memberState);
    }
}
