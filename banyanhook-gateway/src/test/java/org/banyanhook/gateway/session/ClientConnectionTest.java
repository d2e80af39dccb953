package org.banyanhook.gateway.session;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import org.banyanhook.gateway.GatewayFixture;
import org.banyanhook.gateway.ScriptedMember;
import org.banyanhook.gateway.message.ClientAnswer;
import org.banyanhook.gateway.message.ClientRequest;
import org.banyanhook.gateway.message.SessionError;
import org.banyanhook.gateway.message.SessionStatement;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class ClientConnectionTest {

    private static final int WRITABILITY_INDEX = 1;

    private final GatewayFixture gateway = new GatewayFixture();
    private final ScriptedMember member = gateway.list("primary", true);

    @AfterEach
    void close() {
        gateway.close();
    }

    /** Guards against requests sent ahead that end the session, and reading that is not resumed. */
    @Test
    void readingIsSuspendedWhileManyRequestsWait() {
        EmbeddedChannel session = gateway.openSession();
        long chargedForSession = gateway.clientConnections().totalBytes();
        for (int number = 0; number < 65; number++) {
            GatewayFixture.send(session, "r" + number, new SessionStatement.Read("item"));
        }
        assertThat(session.config().isAutoRead()).isFalse();
        for (int number = 0; number < 65; number++) {
            member.answerAll();
            session.runPendingTasks();
        }
        assertThat(session.config().isAutoRead()).isTrue();
        assertThat(session.outboundMessages()).hasSize(65);
        assertThat(gateway.clientConnections().totalBytes()).isEqualTo(chargedForSession);
    }

    /** Guards against answers that accumulate for a client that sends requests but doesn't read. */
    @Test
    void noRequestIsStartedWhileTheClientDoesNotTakeAnswers() {
        EmbeddedChannel session = gateway.openSession();
        session.unsafe().outboundBuffer().setUserDefinedWritability(WRITABILITY_INDEX, false);
        GatewayFixture.send(session, "1", new SessionStatement.SetValue("name", "value"));
        assertThat(session.outboundMessages()).isEmpty();
        session.unsafe().outboundBuffer().setUserDefinedWritability(WRITABILITY_INDEX, true);
        session.runPendingTasks();
        assertThat(session.outboundMessages()).hasSize(1);
    }

    /** Guards against charges that are not taken back, which would close connections for ever after. */
    @Test
    void everythingChargedIsTakenBackWhenConnectionsEnd() {
        ClientConnection input = gateway.clientConnections().newConnection();
        EmbeddedChannel session = gateway.connectSession(input);
        session.writeInbound(new ClientRequest.Open(GatewayFixture.DATABASE, ""));
        GatewayFixture.send(session, "1", new SessionStatement.SetValue("name", "value"));
        input.onMessage(200_000);
        GatewayFixture.send(session, "2", new SessionStatement.Read("item"));
        input.onMessage(900_000);
        GatewayFixture.send(session, "3", new SessionStatement.Read("item"));
        input.onHeldBytes(10, 1 << 20);
        assertThat(gateway.clientConnections().totalBytes()).isAtLeast(3 * 200_000 + 900_000 + (1 << 20));
        session.close();
        member.answerAll();
        session.runPendingTasks();
        assertThat(gateway.clientConnections().totalBytes()).isEqualTo(0);
        assertThat(gateway.clientConnections().size()).isEqualTo(0);
    }

    /** Guards against unfinished messages beyond the budget, and against closing those that hold little. */
    @Test
    void theLargestConnectionsAreClosedBeyondTheBudget() {
        EmbeddedChannel small = gateway.openSession();
        for (int number = 0; number < 60; number++) {
            ClientConnection input = gateway.clientConnections().newConnection();
            EmbeddedChannel unused = gateway.connectSession(input);
            input.onHeldBytes(950_000, 1 << 20);
            assertThat(gateway.clientConnections().totalBytes()).isAtMost(GatewayFixture.CLIENT_LIMITS.memoryBytes());
        }
        assertThat(small.isActive()).isTrue();
        assertThat(gateway.clientConnections().size()).isLessThan(50);
        assertThat(gateway.logged()).contains("\"reason\":\"MEMORY\"");
    }

    /** Guards against clients that are closed for slowness while nothing is short. */
    @Test
    void slowMessagesAreClosedUnderPressureOnly() {
        ClientConnection slow = gateway.clientConnections().newConnection();
        EmbeddedChannel session = gateway.connectSession(slow);
        slow.onHeldBytes(1_000, 1_024);
        gateway.advanceMillis(60_000);
        gateway.clientConnections().tick();
        assertThat(session.isActive()).isTrue();
        ClientConnection large = gateway.clientConnections().newConnection();
        EmbeddedChannel fast = gateway.connectSession(large);
        large.onHeldBytes(1 << 20, 20 << 20);
        gateway.clientConnections().tick();
        assertThat(session.isActive()).isFalse();
        assertThat(fast.isActive()).isTrue();
        ClientAnswer.OpenRefused answer = session.readOutbound();
        assertThat(answer.error()).isEqualTo(SessionError.OVERLOADED);
    }
}
