package org.banyanhook.gateway.session;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import org.banyanhook.gateway.GatewayFixture;
import org.banyanhook.gateway.ScriptedMember;
import org.banyanhook.gateway.ScriptedMember.Link;
import org.banyanhook.gateway.message.ClientAnswer;
import org.banyanhook.gateway.message.SessionError;
import org.banyanhook.gateway.message.SessionStatement;
import org.banyanhook.gateway.message.TransactionState;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What a transaction relies on is withdrawn while its caller keeps sending statements. */
final class TransactionContinuationSessionTest {

    private static final String KEY = "key";
    private static final SessionStatement WRITE = new SessionStatement.Write("item data");

    private final GatewayFixture gateway = new GatewayFixture();
    private final ScriptedMember member = gateway.list("primary", true);
    private EmbeddedChannel session = new EmbeddedChannel();

    @BeforeEach
    void openTransaction() {
        gateway.grantKeys(KEY);
        gateway.accrueTokens();
        session = gateway.openSession(GatewayFixture.PRIVATE_DATABASE, KEY);
        GatewayFixture.send(session, "1", new SessionStatement.Begin(false));
        GatewayFixture.send(session, "2", WRITE);
        member.answerAll();
        assertThat(session.<Object>readOutbound()).isInstanceOf(ClientAnswer.Completed.class);
        assertThat(session.<Object>readOutbound()).isInstanceOf(ClientAnswer.Completed.class);
    }

    @AfterEach
    void close() {
        gateway.close();
    }

    /** A caller could use a withdrawn key for as long as it kept a transaction open. */
    @Test
    void withdrawnKeyEndsAnOpenTransaction() {
        gateway.grantKeys();
        assertThat(refusal(WRITE)).isEqualTo(SessionError.TRANSACTION_ABORTED);
        GatewayFixture.send(session, "4", new SessionStatement.Rollback());
        assertThat(((ClientAnswer.Completed) session.readOutbound()).state()).isEqualTo(TransactionState.IDLE);
        assertThat(refusal(WRITE)).isEqualTo(SessionError.KEY_UNKNOWN);
        member.answerAll();
        assertThat(member.runs()).hasSize(1);
        assertThat(member.committed()).isEmpty();
    }

    @Test
    void commitWithAWithdrawnKeyIsKnownNotToHaveRun() {
        gateway.grantKeys();
        assertThat(refusal(new SessionStatement.Commit())).isEqualTo(SessionError.TRANSACTION_ABORTED);
        member.answerAll();
        assertThat(member.committed()).isEmpty();
    }

    @Test
    void transactionGoesOnWhenOtherKeysChange() {
        gateway.grantKeys("other", KEY);
        commit();
    }

    /** The process would end while a member runs the statement, and cut its answer off. */
    @Test
    void statementOfAnOpenTransactionIsRefusedShortlyBeforeTheProcessEnds() {
        gateway.registry().drain(gateway.shutdownSchedule());
        gateway.advanceMillis(GatewayFixture.GRACE_MILLIS - GatewayFixture.STATEMENT_TIMEOUT_MILLIS);
        assertThat(refusal(WRITE)).isEqualTo(SessionError.TRANSACTION_ABORTED);
        member.answerAll();
        assertThat(member.runs()).hasSize(1);
        GatewayFixture.send(session, "4", new SessionStatement.Rollback());
        assertThat(gateway.registry().isActive()).isFalse();
    }

    @Test
    void openTransactionIsCompletedDuringAStop() {
        gateway.registry().drain(gateway.shutdownSchedule());
        gateway.advanceMillis(GatewayFixture.GRACE_MILLIS / 2);
        commit();
        assertThat(gateway.registry().isActive()).isFalse();
    }

    /** The connection ended without an answer when the process did, while the group had no primary. */
    @Test
    void statementThatWaitsForAConnectionIsRefusedWhenTheProcessEnds() {
        gateway.group().pausePrimary(Long.MAX_VALUE);
        EmbeddedChannel waiting = gateway.openSession();
        GatewayFixture.send(waiting, "5", WRITE);
        gateway.registry().drain(gateway.shutdownSchedule());
        assertThat(waiting.<Object>readOutbound()).isNull();
        gateway.registry().conclude();
        ClientAnswer.Failed refused = waiting.readOutbound();
        assertThat(refused.error()).isEqualTo(SessionError.OVERLOADED);
        assertThat(waiting.isActive()).isFalse();
        member.answerAll();
        assertThat(member.runs()).hasSize(1);
    }

    /** Statements of a long transaction went on reaching a failure domain that operators had taken out. */
    @Test
    void transactionInADomainThatWasTakenOutEndsBeforeTheLimit() {
        gateway.takeOut("east");
        gateway.advanceMillis(GatewayFixture.EVACUATION_LIMIT_MILLIS - 500);
        assertThat(refusal(WRITE)).isEqualTo(SessionError.TRANSACTION_ABORTED);
        assertThat(member.links().stream().anyMatch(Link::isOpen)).isFalse();
        assertThat(member.runs()).hasSize(1);
    }

    @Test
    void transactionInADomainThatWasTakenOutMayBeCompletedForAWhile() {
        gateway.takeOut("east");
        gateway.advanceMillis(GatewayFixture.EVACUATION_LIMIT_MILLIS / 2);
        commit();
    }

    private SessionError refusal(SessionStatement statement) {
        GatewayFixture.send(session, "3", statement);
        ClientAnswer.Failed failed = session.readOutbound();
        return failed.error();
    }

    private void commit() {
        GatewayFixture.send(session, "3", new SessionStatement.Commit());
        member.answerAll();
        assertThat(session.<Object>readOutbound()).isInstanceOf(ClientAnswer.Completed.class);
        assertThat(member.committed()).hasSize(1);
    }
}
