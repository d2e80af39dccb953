package org.banyanhook.gateway.capacity;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.banyanhook.core.scheduling.LearnedCapacity;
import org.banyanhook.core.store.StoreRevision;
import org.banyanhook.daemon.peer.PeerMessageHandler;
import org.banyanhook.daemon.peer.PeerMessenger;
import org.banyanhook.gateway.GatewayFixture;
import org.banyanhook.gateway.ScriptedMember;
import org.banyanhook.gateway.message.SessionError;
import org.banyanhook.gateway.message.SessionStatement;
import org.banyanhook.gateway.port.DaemonEntry;
import org.banyanhook.gateway.port.StoreLease;
import org.banyanhook.gateway.port.StoreRecord;
import org.banyanhook.protocol.generated.MemberCapacity;
import org.banyanhook.protocol.generated.MemberCapacityReport;
import org.banyanhook.protocol.generated.PeerEnvelope;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests which reports are sent and which are believed. Members accept 6 connections of the whole fleet. */
final class CapacityExchangeTest {

    private static final int LARGE_FLEET = 7;
    private static final int SMALL_FLEET = 6;
    private static final long MILLI = 1_000_000;

    private final GatewayFixture gateway = new GatewayFixture();
    private final ScriptedMember member = gateway.list("primary", true);
    private final ScriptedPeers peers = new ScriptedPeers();
    private final CapacityExchange exchange = new CapacityExchange(
            new DaemonEntry("vm", "east", "vm"), peers, gateway.directory(), gateway.groups(), gateway.clock());
    private long revision = 1_000;
    private int statements;

    @AfterEach
    void close() {
        gateway.close();
    }

    /** Small deployments spent messages on what each daemon sees by itself. */
    @Test
    void smallFleetExchangesNothing() {
        listDaemons(SMALL_FLEET);
        run(null);
        tickFor(3_000);
        assertThat(peers.sent).isEmpty();
        assertThat(capacity().report(0, gateway.nowNanos()).answers()).isEqualTo(0.0);
    }

    /** Bytes between domains are charged for, and old answers were sent again each second. */
    @Test
    void newAnswersAreReportedToNeighboursOnly() {
        listDaemons(LARGE_FLEET);
        daemon("far", "west");
        run(null);
        tickFor(3_000);
        assertThat(peers.targets).containsAtLeast("vm-1", "vm-2");
        assertThat(peers.targets).doesNotContain("far");
        assertThat(peers.targets).doesNotContain("vm");
        assertThat(peers.sent.get(0).getMemberCapacityReport().getMembers(0).getMember())
                .isEqualTo("primary");
        tickFor(5_000);
        int before = peers.sent.size();
        tickFor(5_000);
        assertThat(peers.sent).hasSize(before);
    }

    /** A fleet with many members must not send large messages. */
    @Test
    void reportsAreBounded() {
        listDaemons(LARGE_FLEET);
        for (int index = 0; index < 60; index++) {
            gateway.list("replica-with-a-long-name-" + index, false);
        }
        gateway.group().servers().forEach(server -> server.capacity().recordAnswer(10 * MILLI, 0, gateway.nowNanos()));
        tickFor(1_200);
        assertThat(peers.sent.get(0).getSerializedSize()).isAtMost(1_000);
        assertThat(peers.sent.get(0).getMemberCapacityReport().getMembersCount())
                .isAtLeast(10);
    }

    /** Reports of unknown daemons, and of other domains with other network latencies, are not comparable. */
    @Test
    void onlyReportsOfNeighboursAreBelieved() {
        listDaemons(LARGE_FLEET);
        daemon("far", "west");
        receive("far", "west");
        receive("unknown", "east");
        assertThat(refreshedServiceMillis()).isLessThan(20.0);
        receive("vm-1", "east");
        assertThat(refreshedServiceMillis()).isGreaterThan(60.0);
    }

    /** A daemon that was frozen spread what it had learned before, and believed what had waited for it. */
    @Test
    void nothingFromBeforeAPauseIsSentOrBelieved() {
        listDaemons(LARGE_FLEET);
        run(null);
        exchange.tick();
        gateway.advanceMillis(2_500);
        receive("vm-1", "east");
        exchange.tick();
        receive("vm-1", "east");
        assertThat(peers.sent).isEmpty();
        assertThat(refreshedServiceMillis()).isLessThan(20.0);
        tickFor(600);
        receive("vm-1", "east");
        assertThat(refreshedServiceMillis()).isGreaterThan(60.0);
    }

    /** A member that fails at once looked quick; a refusal for the role says nothing of its speed. */
    @Test
    void failuresCountAsSlowAnswers() {
        listDaemons(LARGE_FLEET);
        run(SessionError.MALFORMED);
        double before = refreshedServiceMillis();
        assertThat(before).isWithin(3.0).of(12);
        run(SessionError.STATEMENT_FAILED);
        assertThat(refreshedServiceMillis()).isGreaterThan(before + 5);
    }

    private LearnedCapacity capacity() {
        return gateway.group().server("primary").orElseThrow().capacity();
    }

    private double refreshedServiceMillis() {
        gateway.groups().tick();
        return capacity().serviceMillis();
    }

    private void run(@Nullable SessionError error) {
        EmbeddedChannel session = gateway.openSession();
        GatewayFixture.send(session, Integer.toString(++statements), new SessionStatement.Write("item data"));
        gateway.advanceMillis(12);
        if (error == null) {
            member.answerAll();
        } else {
            // Each use opens a connection, since there are fewer connections than daemons.
            ScriptedMember.Link link = member.links().get(member.links().size() - 1);
            assertThat(link.run() && link.answer() && link.refuse(error)).isTrue();
        }
    }

    private void listDaemons(int count) {
        daemon("vm", "east");
        for (int index = 1; index < count; index++) {
            daemon("vm-" + index, "east");
        }
        exchange.serve(gateway.eventLoop());
        gateway.groups().tick();
    }

    private void daemon(String entryVm, String failureDomain) {
        gateway.directory()
                .apply(new StoreRecord(
                        gateway.recordCodec().daemonKey(entryVm),
                        new StoreRevision(0, ++revision),
                        failureDomain.getBytes(UTF_8),
                        StoreLease.NONE));
    }

    private void tickFor(long millis) {
        for (long passed = 0; passed < millis; passed += 200) {
            gateway.advanceMillis(200);
            exchange.tick();
        }
    }

    private void receive(String sender, String failureDomain) {
        MemberCapacity slow = MemberCapacity.newBuilder()
                .setDatabase(GatewayFixture.GROUP)
                .setMember("primary")
                .setServiceMicros(80_000)
                .setAnswers(50)
                .build();
        var unused = peers.handler.handle(PeerEnvelope.newBuilder()
                .setSenderEntryVm(sender)
                .setSenderFailureDomain(failureDomain)
                .setMemberCapacityReport(MemberCapacityReport.newBuilder().addMembers(slow))
                .build());
        gateway.advanceMillis(0);
    }

    private static final class ScriptedPeers implements PeerMessenger {
        private final List<PeerEnvelope> sent = new ArrayList<>();
        private final List<String> targets = new ArrayList<>();
        private PeerMessageHandler handler = message -> CompletableFuture.completedFuture(message);

        @Override
        public CompletableFuture<PeerEnvelope> request(String address, PeerEnvelope body, Duration timeout) {
            throw new UnsupportedOperationException("reports are one-way messages");
        }

        @Override
        public void send(String address, PeerEnvelope body) {
            targets.add(address);
            sent.add(body);
        }

        @Override
        public void registerHandler(PeerEnvelope.BodyCase kind, PeerMessageHandler newHandler) {
            handler = newHandler;
        }
    }
}
