package org.banyanhook.gateway.home;

import static com.google.common.truth.Truth.assertThat;
import static java.util.Objects.requireNonNull;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.List;
import org.banyanhook.gateway.GatewayFixture;
import org.banyanhook.gateway.ScriptedMember;
import org.banyanhook.gateway.message.ClientAnswer;
import org.banyanhook.gateway.message.SessionError;
import org.banyanhook.gateway.message.SessionStatement;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Statements of a gateway that another daemon, the home of the member, runs for it. */
final class HomeLeasesTest {

    private final HomeFixture fleet = new HomeFixture();
    private final ScriptedMember primary = fleet.listPrimary();
    private final EmbeddedChannel session = fleet.caller().openSession();

    @AfterEach
    void close() {
        fleet.close();
    }

    /** Guards against a new connection for each statement. */
    @Test
    void statementsOfSeveralDaemonsUseOneConnectionOfTheHome() {
        for (int number = 0; number < 3; number++) {
            run("w" + number, new SessionStatement.Write("item data"));
            assertThat(session.<Object>readOutbound()).isInstanceOf(ClientAnswer.Completed.class);
        }
        assertThat(primary.links()).hasSize(1);
        assertThat(primary.runs()).hasSize(3);
        assertThat(direct().links()).isEmpty();
    }

    /** Guards against session values and prepared statements that the home does not know. */
    @Test
    void sessionStateIsAppliedAtTheHome() {
        run("s", new SessionStatement.SetValue("zone", "utc"));
        run("p", new SessionStatement.Prepare("find", new SessionStatement.PreparedShape(false, "item")));
        run("e", new SessionStatement.Execute("find", "data"));
        session.readOutbound();
        session.readOutbound();
        assertThat(session.<Object>readOutbound()).isInstanceOf(ClientAnswer.Completed.class);
        assertThat(primary.runs().get(0).statement()).isInstanceOf(SessionStatement.Execute.class);
    }

    /** Review case 14: guards against a statement that runs at a home with the session values of another client. */
    @Test
    void writeDoesNotRunBehindAValueThatTheMemberRejects() {
        run("w0", new SessionStatement.Write("item data"));
        run("s", new SessionStatement.SetValue("area", "north"));
        GatewayFixture.send(session, "w1", new SessionStatement.Write("item more"));
        fleet.deliverAll();
        ScriptedMember.Link shared = primary.links().get(0);
        assertThat(shared.refuse(SessionError.OVERLOADED)).isTrue();
        while (shared.run()) {
            assertThat(primary.runs()).hasSize(1);
        }
        for (int step = 0; step < 10; step++) {
            fleet.advanceMillis(50);
            settle();
        }
        List<ScriptedMember.Link> ranOn = primary.runs().stream()
                .filter(run -> run.requestId().equals("w1"))
                .map(ScriptedMember.Run::link)
                .toList();
        assertThat(ranOn).hasSize(1);
        assertThat(ranOn).doesNotContain(shared);
    }

    /** Guards against statements of a transaction that run outside of it, and against a connection that is kept. */
    @Test
    void transactionRunsOnOneConnectionWhichIsReleased() {
        run("t", new SessionStatement.Begin(false));
        run("t", new SessionStatement.Write("item data"));
        run("t", new SessionStatement.Write("item more"));
        assertThat(fleet.leases().isActive()).isTrue();
        run("t", new SessionStatement.Commit());
        assertThat(primary.committed()).hasSize(2);
        assertThat(fleet.leases().isActive()).isFalse();
    }

    /** Guards against a transaction that stays open at the member after its caller has left. */
    @Test
    void transactionIsRolledBackWhenItsCallerLeaves() {
        run("t", new SessionStatement.Begin(false));
        run("t", new SessionStatement.Write("item data"));
        session.close();
        settle();
        assertThat(fleet.leases().isActive()).isFalse();
        assertThat(primary.committed()).isEmpty();
    }

    /** Guards against a transaction that stays open at the member after the daemon of its caller was killed. */
    @Test
    void transactionIsRolledBackWhenItsDaemonLeavesTheFleet() {
        run("t", new SessionStatement.Begin(false));
        run("t", new SessionStatement.Write("item data"));
        fleet.cut(true);
        fleet.home().listDaemonGone(HomeFixture.CALLER);
        fleet.advanceMillis(1_500);
        fleet.tick();
        assertThat(fleet.leases().isActive()).isFalse();
    }

    /** Guards against a statement that runs after its caller was told that it had not run, or that this is unknown. */
    @Test
    void commandsThatArriveAfterTheirDeadlineDoNotRun() {
        run("w0", new SessionStatement.Write("item data"));
        session.readOutbound();
        GatewayFixture.send(session, "w1", new SessionStatement.Write("item data"));
        fleet.advanceMillis(GatewayFixture.STATEMENT_TIMEOUT_MILLIS + 1);
        assertThat(session.<Object>readOutbound()).isInstanceOf(ClientAnswer.Failed.class);
        settle();
        assertThat(primary.runs()).hasSize(1);
    }

    /** Guards against a write that runs twice because its home does not answer. */
    @Test
    void writeWithoutAnAnswerIsNotRepeated() {
        run("w0", new SessionStatement.Write("item data"));
        session.readOutbound();
        GatewayFixture.send(session, "w1", new SessionStatement.Write("item data"));
        fleet.deliver();
        primary.answerAll();
        fleet.cut(true);
        fleet.advanceMillis(GatewayFixture.STATEMENT_TIMEOUT_MILLIS + 1);
        direct().answerAll();
        ClientAnswer.Failed failed = (ClientAnswer.Failed) requireNonNull(session.<Object>readOutbound());
        assertThat(failed.error().guaranteesNoEffect()).isFalse();
        assertThat(direct().runs()).isEmpty();
    }

    /** Guards against writes that wait for their time-out while the home cannot be reached. */
    @Test
    void statementUsesADirectConnectionWhenTheHomeDoesNotAnswerAProbe() {
        fleet.cut(true);
        GatewayFixture.send(session, "w0", new SessionStatement.Write("item data"));
        fleet.advanceMillis(300);
        fleet.advanceMillis(1);
        direct().answerAll();
        assertThat(session.<Object>readOutbound()).isInstanceOf(ClientAnswer.Completed.class);
    }

    /** Guards against work at a member that the home may not use as the primary. */
    @Test
    void homeThatMayNotUseThePrimaryRefuses() {
        fleet.home().inContact(false);
        run("w0", new SessionStatement.Write("item data"));
        direct().answerAll();
        assertThat(session.<Object>readOutbound()).isInstanceOf(ClientAnswer.Completed.class);
        assertThat(primary.runs()).isEmpty();
    }

    /** Guards against statements that are cut off when the home is stopped as planned. */
    @Test
    void homeThatIsBeingStoppedRefusesNewWorkAndCompletesTheRest() {
        run("t", new SessionStatement.Begin(false));
        run("t", new SessionStatement.Write("item data"));
        fleet.leases().drain();
        run("t", new SessionStatement.Commit());
        assertThat(primary.committed()).hasSize(1);
        EmbeddedChannel other = fleet.caller().openSession();
        GatewayFixture.send(other, "w", new SessionStatement.Write("item data"));
        settle();
        direct().answerAll();
        assertThat(other.<Object>readOutbound()).isInstanceOf(ClientAnswer.Completed.class);
    }

    /** Guards against a refusal of the home that reaches the caller under an internal name. */
    @Test
    void refusalIsReportedAsOverload() {
        fleet.leases().drain();
        fleet.caller().inContact(false);
        run("w", new SessionStatement.Write("item data"));
        ClientAnswer.Failed failed = (ClientAnswer.Failed) requireNonNull(session.<Object>readOutbound());
        assertThat(failed.error()).isEqualTo(SessionError.OVERLOADED);
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
