package org.banyanhook.gateway.session;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.List;
import org.banyanhook.gateway.GatewayFixture;
import org.banyanhook.gateway.ScriptedMember;
import org.banyanhook.gateway.ScriptedMember.Link;
import org.banyanhook.gateway.message.ClientAnswer;
import org.banyanhook.gateway.message.SessionError;
import org.banyanhook.gateway.message.SessionStatement;
import org.banyanhook.gateway.message.SessionStatement.PreparedShape;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Review case 14: guards against statements that run with the session state of another client because the member
 * rejected the command before them.
 */
final class SessionStateTest {

    private final GatewayFixture gateway = new GatewayFixture();
    private final ScriptedMember member = gateway.list("a", true);

    @AfterEach
    void close() {
        gateway.close();
    }

    @ParameterizedTest
    @EnumSource(names = {"OVERLOADED", "STATEMENT_FAILED", "NOT_PRIMARY"})
    void writeDoesNotRunBehindARejectedValue(SessionError error) {
        EmbeddedChannel first = open("area", "north");
        run(first, "1", new SessionStatement.Write("item 1"));
        EmbeddedChannel second = open("area", "south");
        GatewayFixture.send(second, "2", new SessionStatement.Write("item 2"));
        assertRunsElsewhere(second, "2", error);
    }

    @Test
    void writeDoesNotRunBehindARejectedDiscard() {
        EmbeddedChannel first = open("area", "north");
        run(first, "1", new SessionStatement.Write("item 1"));
        EmbeddedChannel second = gateway.openSession();
        GatewayFixture.send(second, "2", new SessionStatement.Write("item 2"));
        assertRunsElsewhere(second, "2", SessionError.OVERLOADED);
    }

    /** The name stands for a write of the other client if both commands are rejected. */
    @Test
    void preparedReadDoesNotRunBehindARejectedDiscard() {
        EmbeddedChannel first = open("area", "north");
        prepare(first, true);
        run(first, "1", new SessionStatement.Execute("s1", "item 1"));
        EmbeddedChannel second = gateway.openSession();
        prepare(second, false);
        GatewayFixture.send(second, "2", new SessionStatement.Execute("s1", "item"));
        assertRunsElsewhere(second, "2", SessionError.OVERLOADED);
    }

    /** The statement was not sent, so the loss of the connection leaves no doubt about it. */
    @Test
    void writeThatWaitedForAnAnswerThatWasLostRunsElsewhere() {
        EmbeddedChannel session = open("area", "north");
        run(session, "1", new SessionStatement.Write("item 1"));
        EmbeddedChannel second = open("area", "south");
        GatewayFixture.send(second, "2", new SessionStatement.Write("item 2"));
        member.links().get(0).close();
        assertRanOnceElsewhere(second, "2");
    }

    @Test
    void writeOfATransactionDoesNotRunBehindARejectedValue() {
        EmbeddedChannel first = open("area", "north");
        run(first, "1", new SessionStatement.Write("item 1"));
        EmbeddedChannel second = open("area", "south");
        GatewayFixture.send(second, "b", new SessionStatement.Begin(false));
        second.readOutbound();
        GatewayFixture.send(second, "2", new SessionStatement.Write("item 2"));
        assertRunsElsewhere(second, "2", SessionError.OVERLOADED);
    }

    /** Otherwise each statement of a session whose values differ would wait for the member twice. */
    @Test
    void connectionWithTheStateOfTheSessionIsPreferred() {
        EmbeddedChannel north = open("area", "north");
        EmbeddedChannel south = open("area", "south");
        GatewayFixture.send(north, "1", new SessionStatement.Write("item 1"));
        GatewayFixture.send(south, "2", new SessionStatement.Write("item 2"));
        member.answerAll();
        GatewayFixture.send(south, "3", new SessionStatement.Write("item 3"));
        member.answerAll();
        GatewayFixture.send(north, "4", new SessionStatement.Write("item 4"));
        member.answerAll();
        assertThat(linkOf("1")).isNotSameInstanceAs(linkOf("2"));
        assertThat(linkOf("3")).isSameInstanceAs(linkOf("2"));
        assertThat(linkOf("4")).isSameInstanceAs(linkOf("1"));
    }

    private Link linkOf(String id) {
        return member.runs().stream()
                .filter(run -> run.requestId().equals(id))
                .findFirst()
                .orElseThrow()
                .link();
    }

    private void assertRunsElsewhere(EmbeddedChannel session, String id, SessionError error) {
        Link shared = member.links().get(0);
        assertThat(shared.refuse(error)).isTrue();
        // What was sent behind the rejected command has arrived, and runs although the connection is closed.
        while (shared.run()) {
            continue;
        }
        assertRanOnceElsewhere(session, id);
    }

    private void assertRanOnceElsewhere(EmbeddedChannel session, String id) {
        for (int step = 0; step < 10; step++) {
            gateway.advanceMillis(50);
            member.answerAll();
        }
        List<Link> ranOn = member.runs().stream()
                .filter(run -> run.requestId().equals(id))
                .map(ScriptedMember.Run::link)
                .toList();
        assertThat(ranOn).hasSize(1);
        assertThat(ranOn).doesNotContain(member.links().get(0));
        assertThat(session.<Object>readOutbound()).isInstanceOf(ClientAnswer.Completed.class);
    }

    private EmbeddedChannel open(String name, String value) {
        EmbeddedChannel session = gateway.openSession();
        GatewayFixture.send(session, "s", new SessionStatement.SetValue(name, value));
        assertThat(session.<Object>readOutbound()).isInstanceOf(ClientAnswer.Completed.class);
        return session;
    }

    private static void prepare(EmbeddedChannel session, boolean writes) {
        GatewayFixture.send(session, "p", new SessionStatement.Prepare("s1", new PreparedShape(writes, "q1")));
        assertThat(session.<Object>readOutbound()).isInstanceOf(ClientAnswer.Completed.class);
    }

    private void run(EmbeddedChannel session, String id, SessionStatement statement) {
        GatewayFixture.send(session, id, statement);
        member.answerAll();
        assertThat(session.<Object>readOutbound()).isInstanceOf(ClientAnswer.Completed.class);
    }
}
