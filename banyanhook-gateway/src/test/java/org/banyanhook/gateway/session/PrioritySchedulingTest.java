package org.banyanhook.gateway.session;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.Range;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.banyanhook.core.configuration.ClientAccount;
import org.banyanhook.core.configuration.DatabaseRoute;
import org.banyanhook.core.configuration.GroupLimits;
import org.banyanhook.core.configuration.ReadFreshness;
import org.banyanhook.core.configuration.SessionConfiguration;
import org.banyanhook.core.store.StoreRevision;
import org.banyanhook.gateway.GatewayFixture;
import org.banyanhook.gateway.ScriptedMember;
import org.banyanhook.gateway.message.ClientAnswer;
import org.banyanhook.gateway.message.SessionError;
import org.banyanhook.gateway.message.SessionStatement;
import org.banyanhook.gateway.port.FleetRecord;
import org.banyanhook.gateway.port.StoreLease;
import org.banyanhook.gateway.port.StoreRecord;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Sessions of a configuration whose routes differ in priority, and of one whose routes do not. */
final class PrioritySchedulingTest {

    private static final String URGENT = "urgent";
    private static final String REPORTS = "reports";

    private final GatewayFixture gateway = new GatewayFixture();

    @AfterEach
    void close() {
        gateway.close();
    }

    /** Guards against requests of a low priority that are served before urgent ones that arrived later. */
    @Test
    void urgentStatementIsServedBeforeReportsThatArrivedEarlier() {
        configure(1, 0, 2);
        ScriptedMember primary = gateway.list("primary", true);
        List<EmbeddedChannel> sessions = write(4, REPORTS);
        sessions.addAll(write(1, URGENT));
        primary.answerAll();
        assertThat(primary.runs().stream().map(run -> run.requestId()).toList().indexOf(URGENT + 0))
                .isAtMost(3);
        sessions.forEach(PrioritySchedulingTest::assertCompleted);
    }

    /**
     * Guards against all waiting writers being sent at the moment of a promotion, and against some never being sent.
     */
    @Test
    void waitingWritersAreReleasedAtThePaceOfAnswers() {
        configure(8, 0, 2);
        List<EmbeddedChannel> sessions = write(8, URGENT);
        ScriptedMember primary = gateway.list("primary", true);
        gateway.advanceMillis(5);
        assertThat(primary.links()).hasSize(1);
        primary.answerAll();
        sessions.forEach(PrioritySchedulingTest::assertCompleted);
    }

    /** Guards against a change for configurations whose routes have the same priority. */
    @Test
    void waitingWritersAreReleasedAtOnceWhereRoutesHaveTheSamePriority() {
        configure(8, 0, 0);
        List<EmbeddedChannel> sessions = write(8, URGENT);
        ScriptedMember primary = gateway.list("primary", true);
        assertThat(primary.links()).hasSize(8);
        primary.answerAll();
        sessions.forEach(PrioritySchedulingTest::assertCompleted);
    }

    /** Guards against retries at a busy primary that end while time and budget are left, or go on without a budget. */
    @Test
    void busyPrimaryIsRetriedWithinTheBudget() {
        configure(1, 0, 2);
        // The delays of 20 to 320 ms are drawn from their upper halves, within a timeout of 1 s.
        assertThat(refusalsUntilAnswer(gateway.list("primary", true))).isIn(Range.closed(7, 10));
    }

    /** Guards against a changed number of retries where routes have the same priority. */
    @Test
    void busyPrimaryIsRetriedFourTimesWhereRoutesHaveTheSamePriority() {
        configure(1, 0, 0);
        assertThat(refusalsUntilAnswer(gateway.list("primary", true))).isEqualTo(5);
    }

    private int refusalsUntilAnswer(ScriptedMember primary) {
        EmbeddedChannel session = write(1, URGENT).get(0);
        primary.links().forEach(link -> {
            link.run();
            link.answer();
        });
        int refusals = 0;
        for (int millis = 0; millis < 2_000; millis++) {
            for (ScriptedMember.Link link : List.copyOf(primary.links())) {
                refusals += link.refuse(SessionError.OVERLOADED) ? 1 : 0;
            }
            gateway.advanceMillis(1);
        }
        assertThat(((ClientAnswer.Failed) session.<Object>readOutbound()).error())
                .isEqualTo(SessionError.OVERLOADED);
        return refusals;
    }

    private List<EmbeddedChannel> write(int count, String database) {
        List<EmbeddedChannel> sessions = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            EmbeddedChannel session = gateway.openSession(database, "");
            GatewayFixture.send(session, database + number, new SessionStatement.Write("item data"));
            sessions.add(session);
        }
        return sessions;
    }

    private static void assertCompleted(EmbeddedChannel session) {
        assertThat(session.<Object>readOutbound()).isInstanceOf(ClientAnswer.Completed.class);
    }

    private void configure(int connections, int urgentPriority, int reportPriority) {
        SessionConfiguration configuration = new SessionConfiguration(
                100,
                List.of(new ClientAccount("account", List.of(), 100, 100, 1)),
                Map.of(),
                Map.of(URGENT, route(URGENT, urgentPriority), REPORTS, route(REPORTS, reportPriority)),
                Map.of(GatewayFixture.GROUP, new GroupLimits(GatewayFixture.GROUP, connections, 0, 0)),
                10_000);
        gateway.recordCodec().prepare("config", new FleetRecord.Configuration(configuration));
        gateway.directory().apply(new StoreRecord("config", new StoreRevision(0, 100), new byte[0], StoreLease.NONE));
    }

    private static DatabaseRoute route(String database, int priority) {
        return new DatabaseRoute(
                database, GatewayFixture.GROUP, ReadFreshness.CURRENT, 0, 1_000, 500, priority, true, Set.of());
    }
}
