package org.banyanhook.gateway.session;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import org.banyanhook.gateway.GatewayFixture;
import org.banyanhook.gateway.ScriptedMember;
import org.banyanhook.gateway.message.SessionError;
import org.banyanhook.gateway.message.SessionStatement;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class UsageSessionTest {

    private final GatewayFixture gateway = new GatewayFixture();
    private final ScriptedMember member = gateway.list("primary", true);

    @BeforeEach
    void grantKey() {
        gateway.grantKeys("key");
        gateway.accrueTokens();
        GatewayFixture.send(openSession(), "0", new SessionStatement.Read("item"));
        // Opens the connection that the statements of the tests use.
        member.answerAll();
        gateway.usage().events().clear();
    }

    @AfterEach
    void close() {
        gateway.close();
    }

    private EmbeddedChannel openSession() {
        return gateway.openSession(GatewayFixture.PRIVATE_DATABASE, "key");
    }

    /** Counting every statement would report a transaction several times. */
    @Test
    void transactionIsCountedOnceAtItsFirstStatement() {
        EmbeddedChannel session = openSession();
        GatewayFixture.send(session, "1", new SessionStatement.Begin(false));
        member.answerAll();
        assertThat(gateway.usage().events()).isEmpty();
        GatewayFixture.send(session, "2", new SessionStatement.Write("item data"));
        member.answerAll();
        GatewayFixture.send(session, "3", new SessionStatement.Read("item"));
        GatewayFixture.send(session, "4", new SessionStatement.Commit());
        member.answerAll();
        assertThat(gateway.usage().events()).containsExactly("sent account 2", "ran account 2");
    }

    /** A refused attempt did not begin; its retry counts in the window of its own sending. */
    @Test
    void retryAfterARefusalIsCountedOnce() {
        EmbeddedChannel session = openSession();
        GatewayFixture.send(session, "1", new SessionStatement.Read("item"));
        member.links().get(0).refuse(SessionError.OVERLOADED);
        gateway.advanceMillis(50);
        member.answerAll();
        assertThat(gateway.usage().events())
                .containsExactly("sent account 2", "refused account 2", "sent account 3", "ran account 3")
                .inOrder();
    }

    /** Without an answer, the statement may have run. */
    @Test
    void statementWhoseConnectionIsLostIsCounted() {
        EmbeddedChannel session = openSession();
        GatewayFixture.send(session, "1", new SessionStatement.Write("item data"));
        member.links().get(0).close();
        assertThat(gateway.usage().events()).containsExactly("sent account 2", "ran account 2");
    }

    @Test
    void statementThatTimesOutIsCounted() {
        EmbeddedChannel session = openSession();
        GatewayFixture.send(session, "1", new SessionStatement.Read("item"));
        member.links().get(0).silence();
        gateway.advanceMillis(GatewayFixture.STATEMENT_TIMEOUT_MILLIS);
        assertThat(gateway.usage().events()).containsExactly("sent account 2", "ran account 2");
    }

    /** Reports contain client accounts only. */
    @Test
    void callersWithoutAnAccountAreNotCounted() {
        GatewayFixture.send(gateway.openSession(), "1", new SessionStatement.Read("item"));
        member.answerAll();
        assertThat(gateway.usage().events()).isEmpty();
    }
}
