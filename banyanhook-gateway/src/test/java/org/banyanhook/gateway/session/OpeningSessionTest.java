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

/** Sessions that are opened before the configuration has been read. */
final class OpeningSessionTest {

    private static final long POLL_MILLIS = 40;

    private final GatewayFixture gateway = GatewayFixture.withoutConfiguration();
    private final EmbeddedChannel session = new EmbeddedChannel(gateway.newSession());

    @AfterEach
    void close() {
        gateway.close();
    }

    /** A statement that was sent with the opening was refused as malformed. */
    @Test
    void statementsSentWithTheOpeningAreAnsweredAfterIt() {
        ScriptedMember primary = gateway.list("primary", true);
        openAndSend();
        session.writeInbound(new ClientRequest.Misunderstood("2", "expected by the test"));
        assertThat(session.<Object>readOutbound()).isNull();
        gateway.grantKeys();
        gateway.advanceMillis(POLL_MILLIS);
        primary.answerAll();
        assertThat(session.<Object>readOutbound()).isInstanceOf(ClientAnswer.Opened.class);
        assertThat(session.<Object>readOutbound()).isInstanceOf(ClientAnswer.Completed.class);
        assertThat(session.<Object>readOutbound()).isInstanceOf(ClientAnswer.Failed.class);
        assertThat(session.isActive()).isTrue();
    }

    /** Guards against a statement that runs in a session that is never opened. */
    @Test
    void statementIsNotRunIfTheConfigurationIsNotRead() {
        openAndSend();
        for (int millis = 0; millis <= 1_000; millis += POLL_MILLIS) {
            gateway.advanceMillis(POLL_MILLIS);
        }
        assertRefusedOnly();
    }

    /** Guards against a statement that is processed without a session when the process ends. */
    @Test
    void statementIsNotRunIfTheProcessEndsBefore() {
        openAndSend();
        gateway.registry().conclude();
        assertRefusedOnly();
    }

    private void openAndSend() {
        session.writeInbound(new ClientRequest.Open(GatewayFixture.DATABASE, ""));
        GatewayFixture.send(session, "1", new SessionStatement.Read("item"));
    }

    private void assertRefusedOnly() {
        ClientAnswer.OpenRefused refused = session.readOutbound();
        assertThat(refused.error()).isEqualTo(SessionError.OVERLOADED);
        assertThat(session.<Object>readOutbound()).isNull();
        assertThat(session.isActive()).isFalse();
    }
}
