package org.banyanhook.daemon.membership;

import static com.google.common.truth.Truth.assertThat;
import static org.awaitility.Awaitility.await;

import com.google.common.io.Closer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.banyanhook.core.membership.Member;
import org.banyanhook.core.membership.MemberState;
import org.banyanhook.core.membership.MembershipTimings;
import org.banyanhook.daemon.peer.NettyPeerMessenger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Runs controllers of several entry VMs over real peer connections on the loopback interface. */
final class MembershipControllerTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final MembershipTimings TIMINGS = new MembershipTimings(300, 1_000, 60_000);

    private final Closer closer = Closer.create();
    private final Map<String, Long> versions = new ConcurrentHashMap<>();

    @AfterEach
    void closeAll() throws IOException {
        closer.close();
    }

    @Test
    void findsAllMembersThroughOneSeedAndReportsVersions() throws IOException {
        String seed = freeAddress();
        MembershipController first = start("vm-1", seed, List.of(seed), 11);
        MembershipController second = start("vm-2", freeAddress(), List.of("127.0.0.1:1", seed), 12);
        MembershipController third = start("vm-3", freeAddress(), List.of(seed), 13);
        for (MembershipController controller : List.of(first, second, third)) {
            await().atMost(TIMEOUT).until(() -> controller.liveEntryVms().size() == 3);
        }
        await().atMost(TIMEOUT).until(() -> versions.values().containsAll(List.of(11L, 12L, 13L)));
        assertThat(first.liveEntryVms().stream().map(EntryVm::name).toList())
                .containsExactly("vm-1", "vm-2", "vm-3")
                .inOrder();
    }

    @Test
    void reportsAnAnnouncedShutdownAndThenRemovesTheMember() throws IOException {
        String seed = freeAddress();
        MembershipController first = start("vm-1", seed, List.of(), 1);
        MembershipController second = start("vm-2", freeAddress(), List.of(seed), 1);
        await().atMost(TIMEOUT).until(() -> first.liveEntryVms().size() == 2);
        second.announceShutdown();
        await().atMost(TIMEOUT).until(() -> first.liveEntryVms().stream().anyMatch(EntryVm::leaving));
        await().atMost(TIMEOUT).until(() -> first.liveEntryVms().size() == 1);
    }

    private MembershipController start(String name, String address, List<String> seeds, long version)
            throws IOException {
        int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
        NettyPeerMessenger messenger = NettyPeerMessenger.builder(name, "ulsan-a")
                .listenAddress(new InetSocketAddress("127.0.0.1", port))
                .threads(1)
                .build();
        closer.register(messenger::close);
        MembershipController controller = MembershipController.builder(
                        new Member(name, "ulsan-a", address, 1_000, MemberState.ALIVE), messenger)
                .probes(Duration.ofMillis(50), Duration.ofMillis(200))
                .timings(TIMINGS)
                .seeds(seeds)
                .versions(() -> version, () -> 0)
                .versionListener((peer, configuration, withdrawals) -> versions.put(peer, configuration))
                .build();
        closer.register(controller::close);
        controller.start();
        messenger.start();
        return controller;
    }

    private static String freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress("127.0.0.1", 0));
            return "127.0.0.1:" + socket.getLocalPort();
        }
    }
}
