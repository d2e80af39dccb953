package org.banyanhook.gateway.backend;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import org.banyanhook.core.replication.LogPosition;
import org.banyanhook.gateway.GatewayFixture;
import org.banyanhook.gateway.ScriptedMember;
import org.banyanhook.gateway.message.ClientAnswer;
import org.banyanhook.gateway.message.MemberCommand;
import org.banyanhook.gateway.message.MemberReport;
import org.banyanhook.gateway.message.SessionError;
import org.banyanhook.gateway.message.SessionStatement;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * A daemon learns in several ways that the primary has been replaced. Each of them ends the open work at the old one,
 * since its commits would be acknowledged and then rolled back.
 */
final class DatabaseGroupTest {

    private final GatewayFixture gateway = new GatewayFixture();
    private ScriptedMember old = gateway.member("old");
    private EmbeddedChannel session = new EmbeddedChannel();

    @BeforeEach
    void openTransactionAtThePrimary() {
        old = gateway.list("old", true);
        gateway.list("new", false);
        session = gateway.openSession();
        GatewayFixture.send(session, "1", new SessionStatement.Begin(false));
        GatewayFixture.send(session, "2", new SessionStatement.Write("item data"));
        old.answerAll();
        assertThat(session.<Object>readOutbound()).isInstanceOf(ClientAnswer.Completed.class);
        assertThat(session.<Object>readOutbound()).isInstanceOf(ClientAnswer.Completed.class);
    }

    @AfterEach
    void close() {
        gateway.close();
    }

    /** A commit at the old primary was acknowledged after the promotion, and then rolled back. */
    @Test
    void recordedPromotionEndsOpenTransactions() {
        gateway.recordPromotion("new");
        assertThat(commit()).isEqualTo(SessionError.TRANSACTION_ABORTED);
        assertThat(old.committed()).isEmpty();
    }

    @Test
    void recordedPromotionLeavesTheOutcomeOfACommitUnderWayUnknown() {
        GatewayFixture.send(session, "3", new SessionStatement.Commit());
        gateway.recordPromotion("new");
        assertThat(failure()).isEqualTo(SessionError.OUTCOME_UNKNOWN);
    }

    @Test
    void recordedPromotionEndsTransactionsAtAPrimaryThatIsNotListedAnyMore() {
        gateway.listGone("old");
        gateway.advanceMillis(3_000);
        gateway.directory().tick();
        assertThat(gateway.group().primary()).isEmpty();
        gateway.recordPromotion("new");
        assertThat(commit()).isEqualTo(SessionError.TRANSACTION_ABORTED);
    }

    @Test
    void voteForTheReplacementOfAnAbsentPrimaryEndsOpenTransactions() {
        gateway.listGone("old");
        gateway.advanceMillis(3_000);
        gateway.directory().tick();
        gateway.group().stopUsingPrimary("voted");
        assertThat(commit()).isEqualTo(SessionError.TRANSACTION_ABORTED);
    }

    @Test
    void statusOfAReplicaEndsOpenTransactions() {
        gateway.advanceMillis(10);
        gateway.group()
                .onReport(
                        gateway.group().server("old").orElseThrow(),
                        new MemberReport(false, 2, new LogPosition(1, 1)),
                        gateway.nowNanos());
        assertThat(gateway.group().primary()).isEmpty();
        assertThat(commit()).isEqualTo(SessionError.TRANSACTION_ABORTED);
    }

    @Test
    void statusRequestedBeforeTheMemberBecamePrimaryIsIgnored() {
        gateway.group()
                .onReport(
                        gateway.group().server("old").orElseThrow(),
                        new MemberReport(false, 2, new LogPosition(1, 1)),
                        gateway.nowNanos() - 1);
        assertThat(gateway.group().primary()).isPresent();
    }

    @Test
    void refusalOfOneStatementEndsAllOpenTransactions() {
        EmbeddedChannel other = gateway.openSession();
        GatewayFixture.send(other, "10", new SessionStatement.Begin(false));
        GatewayFixture.send(other, "11", new SessionStatement.Write("item data"));
        old.answerAll();
        GatewayFixture.send(other, "12", new SessionStatement.Write("item data"));
        old.links().forEach(link -> link.refuse(SessionError.NOT_PRIMARY));
        assertThat(commit()).isEqualTo(SessionError.TRANSACTION_ABORTED);
    }

    /** The store loses entries while it is unavailable; nothing has been promoted. */
    @Test
    void primaryThatIsNotListedForAWhileKeepsItsTransactions() {
        gateway.listGone("old");
        gateway.advanceMillis(3_000);
        gateway.directory().tick();
        GatewayFixture.send(session, "3", new SessionStatement.Commit());
        old.answerAll();
        assertThat(session.<Object>readOutbound()).isInstanceOf(ClientAnswer.Completed.class);
        assertThat(old.committed()).hasSize(1);
    }

    /** A replica reports the new term before the promoted primary has answered. */
    @Test
    void recordedPrimaryKeepsItsTransactionsWhenAReplicaReportsItsTermFirst() {
        gateway.recordPromotion("old");
        gateway.member("new").report(false, 2, new LogPosition(2, 1));
        var unused = new ConnectionProbe(gateway.groupContext())
                .send(gateway.group().server("new").orElseThrow(), new MemberCommand.Status());
        gateway.member("new").answerAll();
        GatewayFixture.send(session, "3", new SessionStatement.Commit());
        old.answerAll();
        assertThat(session.<Object>readOutbound()).isInstanceOf(ClientAnswer.Completed.class);
    }

    /** A position from before a suspension would count as fresher than it is. */
    @Test
    void answerToACommandFromBeforeASuspensionAddsNoPosition() {
        GatewayFixture.send(session, "3", new SessionStatement.Commit());
        gateway.advanceMillis(100);
        gateway.suspendMillis(5_000);
        old.answerAll();
        assertThat(gateway.group().newestPosition()).isEmpty();
    }

    private SessionError commit() {
        GatewayFixture.send(session, "3", new SessionStatement.Commit());
        old.answerAll();
        return failure();
    }

    private SessionError failure() {
        Object answer = session.readOutbound();
        assertThat(answer).isInstanceOf(ClientAnswer.Failed.class);
        return ((ClientAnswer.Failed) answer).error();
    }
}
