package org.banyanhook.gateway.session;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import org.banyanhook.gateway.GatewayFixture;
import org.banyanhook.gateway.ScriptedMember;
import org.banyanhook.gateway.ScriptedMember.Link;
import org.banyanhook.gateway.message.ClientAnswer;
import org.banyanhook.gateway.message.SessionError;
import org.banyanhook.gateway.message.SessionStatement;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A connection to the member ends after a statement has run and before it is answered. */
final class LostAnswerSessionTest {

    private final GatewayFixture gateway = new GatewayFixture();
    private final ScriptedMember member = gateway.list("a", true);
    private EmbeddedChannel session = new EmbeddedChannel();

    @BeforeEach
    void openSession() {
        session = gateway.openSession();
        GatewayFixture.send(session, "0", new SessionStatement.Read("item"));
        member.answerAll();
        answers();
    }

    @AfterEach
    void close() {
        gateway.close();
    }

    @Test
    void writeIsInDoubtAndNotRunAgain() {
        GatewayFixture.send(session, "1", new SessionStatement.Write("item data"));
        loseAnswer();
        assertThat(failures()).containsExactly(SessionError.OUTCOME_UNKNOWN);
        assertThat(runs("1")).isEqualTo(1);
    }

    @Test
    void writeThatHasNotReachedTheMemberIsInDoubtAsWell() {
        GatewayFixture.send(session, "1", new SessionStatement.Write("item data"));
        newestLink().close();
        member.answerAll();
        assertThat(failures()).containsExactly(SessionError.OUTCOME_UNKNOWN);
        assertThat(runs("1")).isEqualTo(0);
    }

    @Test
    void readIsRunAgain() {
        GatewayFixture.send(session, "1", new SessionStatement.Read("item"));
        loseAnswer();
        assertThat(failures()).isEmpty();
        assertThat(runs("1")).isEqualTo(2);
    }

    @Test
    void commitOfATransactionThatWroteIsInDoubtAndNotRunAgain() {
        beginAnd(new SessionStatement.Write("item data"));
        GatewayFixture.send(session, "3", new SessionStatement.Commit());
        loseAnswer();
        assertThat(failures()).containsExactly(SessionError.OUTCOME_UNKNOWN);
        assertThat(runs("2")).isEqualTo(1);
        assertThat(runs("3")).isEqualTo(1);
    }

    @Test
    void commitOfATransactionThatOnlyReadIsAborted() {
        beginAnd(new SessionStatement.Read("item"));
        GatewayFixture.send(session, "3", new SessionStatement.Commit());
        loseAnswer();
        assertThat(failures()).containsExactly(SessionError.TRANSACTION_ABORTED);
        assertThat(runs("3")).isEqualTo(1);
    }

    @Test
    void writeInATransactionIsAbortedAndNotRunAgain() {
        beginAnd(new SessionStatement.Read("item"));
        GatewayFixture.send(session, "3", new SessionStatement.Write("item data"));
        loseAnswer();
        assertThat(failures()).containsExactly(SessionError.TRANSACTION_ABORTED);
        assertThat(runs("3")).isEqualTo(1);
        assertThat(member.committed()).isEmpty();
    }

    /** The write is sent only behind a confirmed value, so it is known that it has not run, and it runs elsewhere. */
    @Test
    void writeBehindAValueThatTheMemberRefusedRunsOnceAndIsNotInDoubt() {
        GatewayFixture.send(session, "1", new SessionStatement.SetValue("name", "value"));
        GatewayFixture.send(session, "2", new SessionStatement.Write("item data"));
        Link refusing = newestLink();
        assertThat(refusing.refuse(SessionError.OVERLOADED)).isTrue();
        while (refusing.run()) {
            assertThat(runs("2")).isEqualTo(0);
        }
        for (int step = 0; step < 10; step++) {
            gateway.advanceMillis(50);
            member.answerAll();
        }
        assertThat(failures()).isEmpty();
        assertThat(runs("2")).isEqualTo(1);
    }

    private void beginAnd(SessionStatement statement) {
        GatewayFixture.send(session, "1", new SessionStatement.Begin(false));
        GatewayFixture.send(session, "2", statement);
        member.answerAll();
        assertThat(failures()).isEmpty();
    }

    private void loseAnswer() {
        Link link = newestLink();
        assertThat(link.run()).isTrue();
        link.close();
        member.answerAll();
    }

    private Link newestLink() {
        return member.links().get(member.links().size() - 1);
    }

    private long runs(String requestId) {
        return member.runs().stream()
                .filter(run -> run.requestId().equals(requestId))
                .count();
    }

    private List<SessionError> failures() {
        List<SessionError> errors = new ArrayList<>();
        for (Object answer : answers()) {
            if (answer instanceof ClientAnswer.Failed failed) {
                errors.add(failed.error());
            }
        }
        return errors;
    }

    private List<Object> answers() {
        List<Object> answers = new ArrayList<>();
        for (Object answer = session.readOutbound(); answer != null; answer = session.readOutbound()) {
            answers.add(answer);
        }
        return answers;
    }
}
