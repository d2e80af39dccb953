package org.banyanhook.gateway.backend;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.banyanhook.core.replication.LogPosition;
import org.banyanhook.core.replication.PositionHistory;
import org.banyanhook.core.scheduling.CapacityReport;
import org.banyanhook.core.scheduling.LearnedCapacity;
import org.banyanhook.core.store.StoreRevision;
import org.banyanhook.gateway.GatewayFixture;
import org.banyanhook.gateway.message.MemberAnswer;
import org.banyanhook.gateway.message.SessionError;
import org.banyanhook.gateway.port.StoreLease;
import org.banyanhook.gateway.port.StoreRecord;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests that the explained choice is the one that is made. */
final class MemberSelectionTest {

    private static final long MILLI = 1_000_000;

    private final GatewayFixture gateway = new GatewayFixture();
    private final PositionHistory history = new PositionHistory();
    private double draw;

    @AfterEach
    void close() {
        gateway.close();
    }

    /** Operators would act on an explanation that differs from what the gateway does. */
    @Test
    void explainedChoiceIsTheOneMadeInThousandStates() {
        for (int daemon = 0; daemon < 10; daemon++) {
            gateway.directory()
                    .apply(new StoreRecord(
                            gateway.recordCodec().daemonKey("vm-" + daemon),
                            new StoreRevision(0, 1_000 + daemon),
                            "east".getBytes(UTF_8),
                            StoreLease.NONE));
        }
        GroupCapacity large = new GroupCapacity(GatewayFixture.GROUP, gateway.groupContext());
        GroupCapacity small = new GroupCapacity("without-limits", gateway.groupContext());
        large.refresh(List.of(), null);
        assertThat(large.isInForce()).isTrue();
        Set<String> chosen = new HashSet<>();
        for (int seed = 0; seed < 1_000; seed++) {
            Random random = new Random(seed);
            MemberSelection selection = newSelection(seed % 2 == 0 ? large : small);
            MemberSelection.GroupState state = state(random);
            ConnectionRequest request = request(random);
            draw = random.nextDouble();
            SelectionReport explained = selection.explain(request, state, server -> true, draw);
            String made = selection
                    .select(request, state)
                    .map(selected -> selected.server().name())
                    .orElse(null);
            assertWithMessage("seed %s", seed).that(explained.choice()).isEqualTo(made);
            assertThat(explained.members()).hasSize(state.servers().size());
            chosen.add(String.valueOf(made));
        }
        assertThat(chosen).containsExactly("m0", "m1", "m2", "m3", "null");
    }

    private MemberSelection newSelection(GroupCapacity capacity) {
        ConnectionAllocator allocator = new ConnectionAllocator(gateway.groupContext(), new NoConnections());
        return new MemberSelection(gateway.groupContext(), allocator, history, () -> 6, capacity, () -> draw);
    }

    private MemberSelection.GroupState state(Random random) {
        long now = gateway.nowNanos();
        history.clear();
        if (random.nextInt(8) > 0) {
            history.recordAnswer(now, new LogPosition(1, 1 + random.nextInt(9)));
        }
        List<MemberServer> servers = IntStream.range(0, 4)
                .mapToObj(index -> server("m" + index, random, now))
                .toList();
        MemberServer primary = random.nextInt(10) == 0 ? null : servers.get(random.nextInt(4));
        return new MemberSelection.GroupState(servers, primary, random.nextInt(6) > 0);
    }

    private MemberServer server(String name, Random random, long now) {
        gateway.listIn(random.nextBoolean() ? "east" : "west", name, false);
        MemberServer server = new MemberServer(
                gateway.group().server(name).orElseThrow().entry(),
                StoreRevision.NONE,
                now - TimeUnit.SECONDS.toNanos(1));
        server.latency().recordLatency((5 + random.nextInt(100)) * MILLI, now);
        LearnedCapacity capacity = server.capacity();
        capacity.recordReport(
                "vm-1", new CapacityReport(5 + random.nextInt(100), 1 + random.nextInt(2), 0, 20, 0), now);
        capacity.refresh(9, 9, now);
        if (random.nextInt(6) == 0) {
            server.recordLag(now);
        }
        if (random.nextInt(6) == 0) {
            server.recordFailure(now, now);
        }
        if (random.nextInt(6) == 0) {
            server.recordConnectionRefusal(now);
        }
        return server;
    }

    private ConnectionRequest request(Random random) {
        long now = gateway.nowNanos();
        Set<String> regions = random.nextInt(4) == 0 ? Set.of("east") : Set.of();
        ConnectionRequest request = new ConnectionRequest(
                "account",
                1,
                new ConnectionRequest.Requirements(random.nextInt(3) == 0, 0, null, regions),
                now,
                now + TimeUnit.SECONDS.toNanos(1),
                new Unplaced());
        if (random.nextInt(4) == 0) {
            request.exclude("m" + random.nextInt(4));
        }
        return request;
    }

    private static final class Unplaced implements ConnectionRequestListener {
        @Override
        public void onConnectionLeased(ConnectionLease lease, Placement placement) {
            throw new AssertionError("placed");
        }

        @Override
        public void onRefused(SessionError error, String detail) {
            throw new AssertionError("refused");
        }
    }

    private static final class NoConnections implements MemberConnection.Owner {
        @Override
        public void onOpened(MemberConnection connection, MemberAnswer answer) {}

        @Override
        public void onAnswer(MemberConnection connection, MemberAnswer answer, long sentNanos) {}

        @Override
        public void onClosed(MemberConnection connection, String reason) {}

        @Override
        public void onMisuse(MemberConnection connection, String operation) {}
    }
}
