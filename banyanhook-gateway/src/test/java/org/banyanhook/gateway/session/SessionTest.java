package org.banyanhook.gateway.session;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import org.banyanhook.gateway.GatewayFixture;
import org.banyanhook.gateway.ScriptedMember;
import org.banyanhook.gateway.ScriptedMember.Link;
import org.banyanhook.gateway.message.ClientAnswer;
import org.banyanhook.gateway.message.ClientRequest;
import org.banyanhook.gateway.message.SessionError;
import org.banyanhook.gateway.message.SessionStatement;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class SessionTest {

    /** The index of the user-defined writability of an embedded channel. */
    private static final int WRITABILITY_INDEX = 1;

    private static final String KILOBYTE_ROW = "x".repeat(1_024);

    private final GatewayFixture gateway = new GatewayFixture();
    private final ScriptedMember member = gateway.list("primary", true);
    private final HeldWrites network = new HeldWrites();

    @AfterEach
    void close() {
        gateway.close();
    }

    /** The end of a connection discards what has not been written yet. */
    @Test
    void sessionIsClosedOnlyAfterItsLastAnswerHasBeenWritten() {
        EmbeddedChannel session = openSession();
        GatewayFixture.send(session, "1", new SessionStatement.Read("item"));
        member.answerAll();
        gateway.registry().drain(gateway.shutdownSchedule());
        assertThat(session.isActive()).isTrue();
        assertThat(gateway.registry().isActive()).isTrue();
        network.writeHeld();
        assertThat(session.isActive()).isFalse();
        assertThat(session.<Object>readOutbound()).isInstanceOf(ClientAnswer.Opened.class);
        assertThat(session.<Object>readOutbound()).isInstanceOf(ClientAnswer.Completed.class);
        assertThat(gateway.registry().isActive()).isFalse();
    }

    @Test
    void requestThatArrivesWhileTheLastAnswerIsWrittenIsAnsweredBeforeTheClose() {
        EmbeddedChannel session = openSession();
        gateway.advanceMillis(1_000);
        gateway.registry().drain(gateway.shutdownSchedule());
        GatewayFixture.send(session, "1", new SessionStatement.Read("item"));
        network.writeHeld();
        assertThat(session.isActive()).isTrue();
        member.answerAll();
        network.writeHeld();
        assertThat(session.isActive()).isFalse();
        List<Object> answers = answers(session);
        assertThat(answers).hasSize(2);
        assertThat(answers.get(1)).isInstanceOf(ClientAnswer.Completed.class);
    }

    /** The output was closed before an answer that had been given while earlier ones were still being written. */
    @Test
    void answerGivenWhileTheLastOneIsWrittenIsSentBeforeTheClose() {
        EmbeddedChannel session = openSession();
        gateway.advanceMillis(1_000);
        gateway.registry().drain(gateway.shutdownSchedule());
        GatewayFixture.send(session, "1", new SessionStatement.SetValue("name", "value"));
        network.writeHeld();
        assertThat(answers(session)).hasSize(2);
        assertThat(session.isActive()).isFalse();
    }

    @Test
    void misunderstoodRequestIsAnsweredAfterTheOneInProgress() {
        EmbeddedChannel session = gateway.openSession();
        GatewayFixture.send(session, "1", new SessionStatement.Read("item"));
        session.writeInbound(new ClientRequest.Misunderstood("2", "expected by the test"));
        assertThat(session.<Object>readOutbound()).isNull();
        member.answerAll();
        assertThat(session.<Object>readOutbound()).isInstanceOf(ClientAnswer.Completed.class);
        assertThat(session.<Object>readOutbound()).isInstanceOf(ClientAnswer.Failed.class);
    }

    /** A ROLLBACK ended the transaction of another session, whose later writes ran outside of any transaction. */
    @Test
    void rollbackAfterABeginThatTimedOutLeavesTheTransactionOfAnotherSessionOpen() {
        EmbeddedChannel timedOut = gateway.openSession();
        GatewayFixture.send(timedOut, "1", new SessionStatement.Begin(false));
        GatewayFixture.send(timedOut, "2", new SessionStatement.Write("item data"));
        Link silent = member.links().get(0);
        silent.run();
        silent.answer();
        silent.silence();
        EmbeddedChannel other = gateway.openSession();
        gateway.advanceMillis(GatewayFixture.STATEMENT_TIMEOUT_MILLIS - 100);
        GatewayFixture.send(other, "0", new SessionStatement.Read("item"));
        member.answerAll();
        gateway.advanceMillis(100);
        member.answerAll();
        GatewayFixture.send(other, "3", new SessionStatement.Begin(false));
        GatewayFixture.send(other, "4", new SessionStatement.Write("item data"));
        member.answerAll();
        GatewayFixture.send(timedOut, "5", new SessionStatement.Rollback());
        member.answerAll();
        GatewayFixture.send(other, "6", new SessionStatement.Write("item data"));
        GatewayFixture.send(other, "7", new SessionStatement.Commit());
        member.answerAll();
        assertThat(member.runs().stream().map(ScriptedMember.Run::requestId).toList())
                .containsExactly("0", "4", "6", "7")
                .inOrder();
        assertThat(member.runs().stream()
                        .map(ScriptedMember.Run::transaction)
                        .distinct()
                        .toList())
                .hasSize(2);
        assertThat(member.committed()).hasSize(2);
    }

    /** Nothing of the transaction can have been kept, so the caller may run it again. */
    @Test
    void commitAfterTheConnectionHasClosedIsKnownNotToHaveRun() {
        EmbeddedChannel session = gateway.openSession();
        GatewayFixture.send(session, "1", new SessionStatement.Begin(false));
        GatewayFixture.send(session, "2", new SessionStatement.Write("item data"));
        member.answerAll();
        member.links().forEach(Link::close);
        GatewayFixture.send(session, "3", new SessionStatement.Commit());
        assertThat(session.<Object>readOutbound()).isInstanceOf(ClientAnswer.Completed.class);
        assertThat(session.<Object>readOutbound()).isInstanceOf(ClientAnswer.Completed.class);
        assertThat(failure(session)).isEqualTo(SessionError.TRANSACTION_ABORTED);
    }

    @Test
    void answerUpToTheBoundIsPassedOnAsAWhole() {
        EmbeddedChannel session = gateway.openSession();
        Link link = startRead(session);
        link.sendRows(Collections.nCopies(100, KILOBYTE_ROW));
        assertThat(session.<Object>readOutbound()).isNull();
        member.answerAll();
        ClientAnswer.Completed completed = session.readOutbound();
        assertThat(completed.rows()).hasSize(100);
    }

    @Test
    void largeAnswerIsPassedOnAsItArrives() {
        EmbeddedChannel session = gateway.openSession();
        Link link = startRead(session);
        int received = 0;
        for (int part = 0; part < 100; part++) {
            link.sendRows(Collections.nCopies(64, KILOBYTE_ROW));
            received += rowsIn(session);
            int held = (part + 1) * 64 - received;
            assertThat(held * KILOBYTE_ROW.length()).isAtMost(HeldRows.MAXIMUM_HELD_CHARACTERS);
        }
        member.answerAll();
        assertThat(received + rowsIn(session)).isEqualTo(6_400);
    }

    @Test
    void memberIsNotReadWhileTheCallerTakesNoMore() {
        EmbeddedChannel session = gateway.openSession();
        Link link = startRead(session);
        setWritable(session, false);
        link.sendRows(Collections.nCopies(300, KILOBYTE_ROW));
        assertThat(link.isRead()).isFalse();
        setWritable(session, true);
        assertThat(link.isRead()).isTrue();
    }

    /** A caller that reads slowly gets the whole answer; one that has stopped does not hold a connection for ever. */
    @Test
    void timeOfAnAnswerThatIsPassedOnEndsOnlyWithoutProgress() {
        EmbeddedChannel session = gateway.openSession();
        Link link = startRead(session);
        for (int part = 0; part < 4; part++) {
            link.sendRows(Collections.nCopies(300, KILOBYTE_ROW));
            gateway.advanceMillis(GatewayFixture.STATEMENT_TIMEOUT_MILLIS - 100);
        }
        assertThat(link.isOpen()).isTrue();
        gateway.advanceMillis(200);
        assertThat(link.isOpen()).isFalse();
        List<Object> answers = answers(session);
        assertThat(answers.get(answers.size() - 1)).isInstanceOf(ClientAnswer.Failed.class);
    }

    @Test
    void readIsNotRetriedAfterRowsHaveBeenPassedOn() {
        EmbeddedChannel session = gateway.openSession();
        Link link = startRead(session);
        link.sendRows(Collections.nCopies(300, KILOBYTE_ROW));
        link.close();
        List<Object> answers = answers(session);
        assertThat(((ClientAnswer.Failed) answers.get(answers.size() - 1)).error())
                .isEqualTo(SessionError.STATEMENT_FAILED);
        assertThat(member.links()).hasSize(1);
    }

    @Test
    void readIsRetriedWhileItsRowsAreHeldBack() {
        EmbeddedChannel session = gateway.openSession();
        Link link = startRead(session);
        link.sendRows(Collections.nCopies(10, KILOBYTE_ROW));
        link.close();
        member.answerAll();
        ClientAnswer.Completed completed = session.readOutbound();
        assertThat(completed.rows()).isEmpty();
        assertThat(member.links()).hasSize(2);
    }

    @Test
    void connectionIsClosedWhenTheCallerLeavesBeforeTheEndOfALargeAnswer() {
        EmbeddedChannel session = gateway.openSession();
        Link link = startRead(session);
        link.sendRows(Collections.nCopies(300, KILOBYTE_ROW));
        session.close();
        assertThat(link.isOpen()).isFalse();
    }

    private EmbeddedChannel openSession() {
        EmbeddedChannel session = gateway.connectSession(network);
        session.writeInbound(new ClientRequest.Open(GatewayFixture.DATABASE, ""));
        return session;
    }

    /** Sends a read, and runs it without answering; returns its connection. */
    private Link startRead(EmbeddedChannel session) {
        GatewayFixture.send(session, "1", new SessionStatement.Read("item"));
        Link link = member.links().get(0);
        assertThat(link.run()).isTrue();
        assertThat(link.answer()).isTrue();
        return link;
    }

    private static void setWritable(EmbeddedChannel session, boolean writable) {
        session.unsafe().outboundBuffer().setUserDefinedWritability(WRITABILITY_INDEX, writable);
        session.runPendingTasks();
    }

    private static SessionError failure(EmbeddedChannel session) {
        ClientAnswer.Failed failed = session.readOutbound();
        return failed.error();
    }

    private static int rowsIn(EmbeddedChannel session) {
        int rows = 0;
        for (Object answer : answers(session)) {
            if (answer instanceof ClientAnswer.Rows part) {
                rows += part.rows().size();
            } else if (answer instanceof ClientAnswer.Completed completed) {
                rows += completed.rows().size();
            }
        }
        return rows;
    }

    private static List<Object> answers(EmbeddedChannel session) {
        List<Object> answers = new ArrayList<>();
        for (Object answer = session.readOutbound(); answer != null; answer = session.readOutbound()) {
            if (answer instanceof ClientAnswer) {
                answers.add(answer);
            }
        }
        return answers;
    }

    /** Holds writes back like a network whose send buffer is full. */
    private static final class HeldWrites extends ChannelOutboundHandlerAdapter {
        private final Deque<Runnable> held = new ArrayDeque<>();

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            held.add(() -> context.writeAndFlush(message, promise));
        }

        private void writeHeld() {
            while (!held.isEmpty()) {
                held.remove().run();
            }
        }
    }
}
