package org.banyanhook.gateway.home;

import static com.google.common.truth.Truth.assertThat;
import static java.util.Objects.requireNonNull;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.List;
import java.util.OptionalInt;
import org.banyanhook.core.routing.MemberHomes;
import org.banyanhook.gateway.GatewayFixture;
import org.banyanhook.gateway.ScriptedMember;
import org.banyanhook.gateway.backend.HomeConnector;
import org.banyanhook.gateway.backend.MemberServer;
import org.banyanhook.gateway.message.ClientAnswer;
import org.banyanhook.gateway.message.SessionError;
import org.banyanhook.gateway.message.SessionStatement;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Failures of a home, of its link and of the daemon of the caller. */
final class HomeFailuresTest {

    private static final SessionStatement WRITE = new SessionStatement.Write("item data");

    private final HomeFixture fleet = new HomeFixture();
    private final ScriptedMember primary = fleet.listPrimary();
    private final EmbeddedChannel session = fleet.caller().openSession();

    @AfterEach
    void close() {
        fleet.close();
    }

    /** Guards against a write that runs twice because its answer is too large to be passed on. */
    @Test
    void writeWithAnAnswerThatIsTooLargeIsNotRepeated() {
        startWriteAtHome();
        primary.links().get(0).run();
        primary.links().get(0).sendRows(List.of("x".repeat(7 << 20)));
        settle();
        direct().answerAll();
        assertThat(failure()).isEqualTo(SessionError.OUTCOME_UNKNOWN);
        assertThat(direct().runs()).isEmpty();
    }

    /**
     * Guards against a write that runs after its time-out because the clock of the home does not count a suspension.
     */
    @Test
    void commandsThatWereInTransitDuringASuspensionOfTheHomeDoNotRun() {
        GatewayFixture.send(session, "w0", WRITE);
        settle();
        int runs = primary.runs().size();
        GatewayFixture.send(session, "w1", WRITE);
        fleet.home().suspendMillis(5_000);
        settle();
        assertThat(primary.runs()).hasSize(runs);
    }

    /** Guards against commands that wait for a member whose failure domain operators have taken out. */
    @Test
    void homeRefusesWorkAtAMemberThatIsTakenOut() {
        GatewayFixture.send(session, "w0", WRITE);
        settle();
        int runs = primary.runs().size();
        fleet.home().takeOut("east");
        GatewayFixture.send(session, "w1", WRITE);
        settle();
        assertThat(primary.runs()).hasSize(runs);
        assertThat(fleet.leases().isActive()).isFalse();
    }

    /** Guards against an answer that exceeds the size of a peer message, which closes the link for all statements. */
    @Test
    void sizeOfAnAnswerIsCountedInBytes() {
        startWriteAtHome();
        primary.links().get(0).run();
        primary.links().get(0).sendRows(List.of("\u4e00".repeat(3 << 20)));
        settle();
        assertThat(failure()).isEqualTo(SessionError.OUTCOME_UNKNOWN);
    }

    /** Guards against work at a replaced primary that goes on because only the home could end it. */
    @Test
    void workAtAHomeEndsWhenItsDaemonStopsUsingThePrimary() {
        startWriteAtHome();
        fleet.caller().inContact(false);
        fleet.caller().groups().tick();
        assertThat(failure()).isEqualTo(SessionError.OUTCOME_UNKNOWN);
        fleet.deliverAll();
        assertThat(fleet.leases().isActive()).isFalse();
    }

    /** Guards against a connection that is never released because the member does not answer a lost daemon. */
    @Test
    void unansweredCommandIsClosedWhenItsDaemonLeavesTheFleet() {
        startWriteAtHome();
        fleet.cut(true);
        fleet.home().listDaemonGone(HomeFixture.CALLER);
        fleet.home().advanceMillis(1_500);
        fleet.leases().tick();
        assertThat(fleet.leases().isActive()).isFalse();
        assertThat(primary.links().get(0).isOpen()).isFalse();
    }

    /** Guards against a connection that is never released because the message that ends the lease was lost. */
    @Test
    void unansweredCommandIsClosedAfterALongSilence() {
        startWriteAtHome();
        fleet.cut(true);
        fleet.home().advanceMillis(5_000);
        fleet.leases().tick();
        assertThat(fleet.leases().isActive()).isTrue();
        fleet.home().advanceMillis(40_000);
        fleet.leases().tick();
        assertThat(fleet.leases().isActive()).isFalse();
    }

    /** Guards against a rollback of the transactions of a daemon whose entry the home has not read yet. */
    @Test
    void transactionOfADaemonThatIsNotListedYetIsKept() {
        fleet.home().listDaemonGone(HomeFixture.CALLER);
        run("t", new SessionStatement.Begin(false));
        run("t", WRITE);
        fleet.home().advanceMillis(1_500);
        fleet.leases().tick();
        run("t", new SessionStatement.Commit());
        assertThat(primary.committed()).hasSize(1);
    }

    /** Guards against a connection without the prepared statement that the home goes on using. */
    @Test
    void connectionWithoutThePreparedStatementIsClosed() {
        run("p", new SessionStatement.Prepare("find", new SessionStatement.PreparedShape(false, "item")));
        run("e", new SessionStatement.Execute("find", "data"));
        GatewayFixture.send(session, "f", new SessionStatement.Execute("find", "data"));
        fleet.deliverAll();
        assertThat(primary.links().get(0).refuse(SessionError.PREPARED_UNKNOWN)).isTrue();
        settle();
        assertThat(primary.links().get(0).isOpen()).isFalse();
        assertThat(primary.runs()).hasSize(2);
    }

    /** Guards against a write that a frozen home sends after its caller was told that the time is over. */
    @Test
    void frozenHomeDoesNotSendCommandsAfterTheirDeadline() {
        GatewayFixture.send(session, "w", WRITE);
        fleet.deliverAll();
        assertThat(primary.links()).hasSize(1);
        fleet.home().freezeMillis(GatewayFixture.STATEMENT_TIMEOUT_MILLIS);
        primary.answerAll();
        assertThat(primary.runs()).isEmpty();
    }

    /** Guards against a transaction that stays open at the home because a later statement could not be sent. */
    @Test
    void transactionIsAbortedWhenALaterStatementCannotBeSent() {
        run("t", new SessionStatement.Begin(false));
        run("t", WRITE);
        session.readOutbound();
        session.readOutbound();
        fleet.link().refuseNext();
        run("t", WRITE);
        assertThat(failure()).isEqualTo(SessionError.TRANSACTION_ABORTED);
        assertThat(fleet.leases().isActive()).isFalse();
        assertThat(primary.committed()).isEmpty();
    }

    /** Guards against a large prepared statement that is held by two daemons. */
    @Test
    void largePreparedStatementIsNotSentToAHome() {
        String text = "x".repeat(70 << 10);
        run("p", new SessionStatement.Prepare("find", new SessionStatement.PreparedShape(false, text)));
        run("e", new SessionStatement.Execute("find", "data"));
        direct().answerAll();
        assertThat(direct().runs()).hasSize(1);
        assertThat(primary.runs()).isEmpty();
    }

    /** Guards against a transaction that stays open at the member while its daemon is cut off. */
    @Test
    void idleTransactionIsRolledBack() {
        run("t", new SessionStatement.Begin(false));
        run("t", WRITE);
        fleet.cut(true);
        fleet.home().advanceMillis(9_000);
        fleet.leases().tick();
        assertThat(fleet.leases().isActive()).isTrue();
        fleet.home().advanceMillis(3_000);
        fleet.leases().tick();
        primary.answerAll();
        assertThat(fleet.leases().isActive()).isFalse();
        assertThat(fleet.home().logged()).contains("home-transaction");
    }

    /** Guards against a large answer that is collected at the home, and against a read without an answer. */
    @Test
    void readWithAnAnswerThatIsTooLargeRunsOnADirectConnection() {
        GatewayFixture.send(session, "r", new SessionStatement.Read("item"));
        fleet.deliverAll();
        primary.answerAll();
        session.readOutbound();
        GatewayFixture.send(session, "s", new SessionStatement.Read("item"));
        fleet.deliverAll();
        primary.links().get(0).run();
        primary.links().get(0).sendRows(List.of("x".repeat(600 << 10)));
        settle();
        direct().answerAll();
        assertThat(direct().runs()).hasSize(1);
        assertThat(fleet.leases().isActive()).isFalse();
    }

    /** Guards against commands that a restarted home runs by the deadline of its previous run. */
    @Test
    void restartedHomeRefusesUntilItsClockIsKnown() {
        run("w0", WRITE);
        fleet.restartHome();
        run("w1", WRITE);
        direct().answerAll();
        assertThat(primary.runs()).hasSize(1);
        assertThat(direct().runs()).hasSize(1);
        fleet.advanceMillis(600);
        GatewayFixture.send(fleet.caller().openSession(), "w2", WRITE);
        settle();
        assertThat(primary.runs().size() + direct().runs().size()).isEqualTo(3);
    }

    /** Guards against a transaction that goes on at a home that has lost its first statements. */
    @Test
    void transactionIsAbortedWhenTheHomeHasRestarted() {
        run("t", new SessionStatement.Begin(false));
        run("t", WRITE);
        session.readOutbound();
        session.readOutbound();
        fleet.restartHome();
        run("t", new SessionStatement.Commit());
        assertThat(failure()).isEqualTo(SessionError.TRANSACTION_ABORTED);
        assertThat(primary.committed()).isEmpty();
    }

    /** Guards against connections of daemons that are not homes, which exceed the limit of the member. */
    @Test
    void onlyHomesKeepConnections() {
        assertThat(homes(fleet.caller()).ownShare(server(fleet.caller()))).isEqualTo(OptionalInt.of(0));
        assertThat(homes(fleet.home()).ownShare(server(fleet.home())).orElse(0)).isGreaterThan(0);
        assertThat(homes(fleet.caller()).isReachable(server(fleet.caller()), "account"))
                .isTrue();
    }

    /** Guards against homes in a fleet whose daemons all have connections. */
    @Test
    void smallFleetHasNoHomes() {
        for (int number = 0; number < 6; number++) {
            fleet.caller().listDaemonGone("other-" + number);
        }
        // A former number of daemons is taken into account for 20 s.
        fleet.caller().advanceMillis(21_000);
        fleet.caller().directory().tick();
        assertThat(homes(fleet.caller()).ownShare(server(fleet.caller()))).isEqualTo(OptionalInt.empty());
        assertThat(homes(fleet.caller()).isReachable(server(fleet.caller()), "account"))
                .isFalse();
    }

    /** Guards against a home that sends on the work of the accounts that it serves first. */
    @Test
    void homeSendsOnOnlyTheAccountsOfOthers() {
        List<String> all = List.of(HomeFixture.HOME, "east-1", "east-2");
        all.forEach(daemon -> fleet.home().listDaemon(daemon, "east"));
        for (int number = 0; number < 20; number++) {
            String account = "account-" + number;
            boolean first =
                    MemberHomes.forAccount(all, "primary", account).get(0).equals(HomeFixture.HOME);
            assertThat(homes(fleet.home()).isReachable(server(fleet.home()), account))
                    .isEqualTo(!first);
        }
    }

    /** Guards against a promotion that is delayed because a refusal of a home counts as an answer of the primary. */
    @Test
    void refusalOfAHomeIsNoAnswerOfTheMember() {
        EmbeddedChannel other = fleet.caller().openSession();
        GatewayFixture.send(other, "s", new SessionStatement.SetValue("zone", "utc"));
        fleet.leases().drain();
        run("w", WRITE);
        direct().links().get(0).close();
        assertThat(unreachableNanos()).isAtLeast(0);
        fleet.advanceMillis(600);
        GatewayFixture.send(other, "t", new SessionStatement.Begin(false));
        GatewayFixture.send(other, "t", WRITE);
        fleet.deliverAll();
        assertThat(unreachableNanos()).isAtLeast(0);
    }

    private long unreachableNanos() {
        return server(fleet.caller()).unreachableNanos(fleet.caller().clock().nowNanos());
    }

    private static HomeConnector homes(GatewayFixture gateway) {
        return gateway.groupContext().homes();
    }

    private static MemberServer server(GatewayFixture gateway) {
        return gateway.group().server("primary").orElseThrow();
    }

    private void startWriteAtHome() {
        run("w0", WRITE);
        session.readOutbound();
        GatewayFixture.send(session, "w1", WRITE);
        fleet.deliverAll();
    }

    private SessionError failure() {
        return ((ClientAnswer.Failed) requireNonNull(session.<Object>readOutbound())).error();
    }

    private ScriptedMember direct() {
        return fleet.caller().member("primary");
    }

    private void run(String id, SessionStatement statement) {
        GatewayFixture.send(session, id, statement);
        settle();
    }

    private void settle() {
        for (int round = 0; round < 3; round++) {
            fleet.deliverAll();
            primary.answerAll();
            fleet.deliverAll();
        }
    }
}
