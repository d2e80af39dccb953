package org.banyanhook.gateway.session;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.banyanhook.core.execution.ShutdownSchedule;
import org.banyanhook.gateway.GatewayFixture;
import org.banyanhook.gateway.ScriptedMember;
import org.banyanhook.gateway.message.ClientAnswer;
import org.banyanhook.gateway.message.ClientRequest;
import org.banyanhook.gateway.message.SessionError;
import org.banyanhook.gateway.message.SessionStatement;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** The process ends while requests have no answer yet. */
final class ShutdownSessionTest {

    private static final String KEY = "key";
    private static final SessionStatement READ = new SessionStatement.Read("item");
    private static final SessionStatement WRITE = new SessionStatement.Write("item data");

    private final GatewayFixture gateway = new GatewayFixture();
    private final ScriptedMember member = gateway.list("primary", true);
    private final EmbeddedChannel session = gateway.openSession();

    @AfterEach
    void close() {
        gateway.close();
    }

    /** The connection ended without an answer while the member ran the write. */
    @Test
    void writeThatTheMemberRunsIsInDoubtWhenTheProcessEnds() {
        openMemberConnection();
        GatewayFixture.send(session, "1", WRITE);
        endProcess();
        assertThat(refusal()).isEqualTo(SessionError.OUTCOME_UNKNOWN);
        assertThat(session.isActive()).isFalse();
    }

    @Test
    void readThatTheMemberRunsIsReportedAsFailed() {
        openMemberConnection();
        GatewayFixture.send(session, "1", READ);
        endProcess();
        assertThat(refusal()).isEqualTo(SessionError.STATEMENT_FAILED);
        assertThat(session.isActive()).isFalse();
    }

    /** The connection ended without an answer while it was being prepared for the transaction. */
    @Test
    void statementWhoseTransactionHasNotBegunIsRefusedAsNotRun() {
        openMemberConnection();
        GatewayFixture.send(session, "1", new SessionStatement.Begin(false));
        GatewayFixture.send(session, "2", WRITE);
        endProcess();
        session.readOutbound();
        assertThat(refusal()).isEqualTo(SessionError.OVERLOADED);
        member.answerAll();
        assertThat(member.runs().stream().map(ScriptedMember.Run::requestId).toList())
                .containsExactly("0");
        assertThat(session.isActive()).isFalse();
    }

    @Test
    void statementOfATransactionIsAborted() {
        beginAndWrite();
        GatewayFixture.send(session, "3", WRITE);
        endProcess();
        assertThat(refusal()).isEqualTo(SessionError.TRANSACTION_ABORTED);
        assertThat(member.links().stream().anyMatch(ScriptedMember.Link::isOpen))
                .isFalse();
        assertThat(session.isActive()).isFalse();
    }

    @Test
    void commitThatTheMemberRunsIsInDoubt() {
        beginAndWrite();
        GatewayFixture.send(session, "3", new SessionStatement.Commit());
        endProcess();
        assertThat(refusal()).isEqualTo(SessionError.OUTCOME_UNKNOWN);
    }

    @Test
    void everyRequestThatWasSentAheadIsAnswered() {
        openMemberConnection();
        GatewayFixture.send(session, "1", WRITE);
        GatewayFixture.send(session, "2", WRITE);
        GatewayFixture.send(session, "3", new SessionStatement.Begin(false));
        endProcess();
        assertThat(refusal()).isEqualTo(SessionError.OUTCOME_UNKNOWN);
        assertThat(refusal()).isEqualTo(SessionError.OVERLOADED);
        assertThat(refusal()).isEqualTo(SessionError.OVERLOADED);
        assertThat(session.isActive()).isFalse();
    }

    /** A write that was refused as not run was sent to the member when its token was granted, and answered twice. */
    @Test
    void requestThatWaitsForATokenIsRefusedAndNeverRuns() {
        gateway.grantKeys(KEY);
        gateway.accrueTokens();
        takeAllTokens();
        HalfClosableChannel limited = new HalfClosableChannel(gateway.newSession());
        limited.writeInbound(new ClientRequest.Open(GatewayFixture.PRIVATE_DATABASE, KEY));
        limited.readOutbound();
        GatewayFixture.send(limited, "1", WRITE);
        assertThat(limited.<Object>readOutbound()).isNull();
        endProcess();
        ClientAnswer.Failed refused = limited.readOutbound();
        assertThat(refused.error()).isEqualTo(SessionError.OVERLOADED);
        assertThat(limited.isOutputShutdown()).isTrue();
        gateway.advanceMillis(100);
        gateway.grantAccruedTokens();
        member.answerAll();
        assertThat(member.runs()).isEmpty();
        assertThat(limited.outboundMessages().stream().anyMatch(ClientAnswer.class::isInstance))
                .isFalse();
    }

    /** Statements that waited were sent on the connections that the end of others made free. */
    @Test
    void endOfServiceOpensNoConnections() {
        int callers = 20;
        List<EmbeddedChannel> waiting = new ArrayList<>();
        for (int number = 0; number < callers; number++) {
            GatewayFixture.send(gateway.openSession(), "r" + number, READ);
        }
        member.answerAll();
        for (int number = 0; number < callers; number++) {
            waiting.add(gateway.openSession());
            GatewayFixture.send(waiting.get(number), "w" + number, WRITE);
        }
        int connections = member.links().size();
        endProcess();
        assertThat(member.links()).hasSize(connections);
        for (EmbeddedChannel caller : waiting) {
            assertThat(caller.<Object>readOutbound()).isInstanceOf(ClientAnswer.Failed.class);
        }
    }

    /** A caller that is silent in a transaction kept the process to its end, and its connection was reset then. */
    @Test
    void silentTransactionIsRolledBackAndItsSessionClosed() {
        beginAndWrite();
        endProcess();
        member.answerAll();
        assertThat(session.isActive()).isFalse();
        assertThat(member.committed()).isEmpty();
    }

    /** Its connection was closed before its first request had arrived. */
    @Test
    void callerWhoConnectsShortlyBeforeAStopIsAnswered() {
        EmbeddedChannel caller = new EmbeddedChannel(gateway.newSession());
        gateway.registry().drain(gateway.shutdownSchedule());
        gateway.advanceMillis(100);
        caller.writeInbound(new ClientRequest.Open(GatewayFixture.DATABASE, ""));
        assertThat(caller.<Object>readOutbound()).isInstanceOf(ClientAnswer.Opened.class);
        GatewayFixture.send(caller, "1", WRITE);
        member.answerAll();
        assertThat(caller.<Object>readOutbound()).isInstanceOf(ClientAnswer.Completed.class);
    }

    /** Its session was closed between the answer to its opening and its first statement. */
    @Test
    void callerWhoWaitsForTheOpeningDuringAStopHasTimeForItsFirstStatement() {
        EmbeddedChannel caller = new EmbeddedChannel(gateway.newSession());
        gateway.registry().drain(gateway.shutdownSchedule());
        gateway.advanceMillis(199);
        caller.writeInbound(new ClientRequest.Open(GatewayFixture.DATABASE, ""));
        caller.readOutbound();
        gateway.advanceMillis(199);
        GatewayFixture.send(caller, "1", WRITE);
        member.answerAll();
        assertThat(caller.<Object>readOutbound()).isInstanceOf(ClientAnswer.Completed.class);
    }

    /** What was sent ahead ran without an answer when the event loop was held up until the process ended. */
    @Test
    void statementsSentAheadDoNotRunThoughTheSessionWasNeverDrained() {
        openMemberConnection();
        GatewayFixture.send(session, "1", WRITE);
        GatewayFixture.send(session, "2", WRITE);
        long requestedNanos = gateway.nowNanos() - TimeUnit.MILLISECONDS.toNanos(GatewayFixture.GRACE_MILLIS * 5 / 6);
        gateway.registry().beginShutdown(ShutdownSchedule.startingAt(requestedNanos, GatewayFixture.GRACE_MILLIS));
        gateway.registry().conclude();
        assertThat(refusal()).isEqualTo(SessionError.OUTCOME_UNKNOWN);
        assertThat(refusal()).isEqualTo(SessionError.OVERLOADED);
        assertThat(session.isActive()).isFalse();
    }

    @Test
    void callerWhoSendsNothingDoesNotKeepTheProcess() {
        EmbeddedChannel caller = new EmbeddedChannel(gateway.newSession());
        gateway.registry().drain(gateway.shutdownSchedule());
        assertThat(gateway.registry().isActive()).isTrue();
        gateway.advanceMillis(201);
        gateway.advanceMillis(1);
        assertThat(caller.isActive()).isFalse();
        assertThat(gateway.registry().isActive()).isFalse();
    }

    private void takeAllTokens() {
        EmbeddedChannel other = gateway.openSession(GatewayFixture.PRIVATE_DATABASE, KEY);
        boolean granted = true;
        while (granted) {
            GatewayFixture.send(other, "b", new SessionStatement.Begin(false));
            granted = other.readOutbound() != null;
            GatewayFixture.send(other, "r", new SessionStatement.Rollback());
            other.readOutbound();
        }
        other.close();
    }

    private void openMemberConnection() {
        GatewayFixture.send(session, "0", READ);
        member.answerAll();
        session.readOutbound();
    }

    private void beginAndWrite() {
        GatewayFixture.send(session, "1", new SessionStatement.Begin(false));
        GatewayFixture.send(session, "2", WRITE);
        member.answerAll();
        session.readOutbound();
        session.readOutbound();
    }

    /** Stops the process while the member does not answer. */
    private void endProcess() {
        long requestedNanos = gateway.nowNanos() - TimeUnit.MILLISECONDS.toNanos(GatewayFixture.GRACE_MILLIS * 5 / 6);
        gateway.registry().drain(ShutdownSchedule.startingAt(requestedNanos, GatewayFixture.GRACE_MILLIS));
        gateway.registry().conclude();
    }

    private SessionError refusal() {
        ClientAnswer.Failed failed = session.readOutbound();
        return failed.error();
    }
}
