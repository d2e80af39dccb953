package org.banyanhook.gateway;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.banyanhook.gateway.fleet.ScriptedRecordStore;
import org.banyanhook.gateway.fleet.TextRecordCodec;
import org.banyanhook.gateway.port.HttpPaths;
import org.banyanhook.gateway.port.PromotionAuthority;
import org.banyanhook.gateway.port.UsageAuthority;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class GatewayStartTest {

    private static final int PORTS = 4;

    private final EventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final ScriptedRecordStore store = new ScriptedRecordStore();

    @AfterEach
    void stop() {
        eventLoops.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    /**
     * A daemon that is still stopping holds its ports. Its successor must not end the promotion leases of that name,
     * nor replace the entry, before the ports are free.
     */
    @Test
    void storeIsNotCalledWhileAnotherProcessHoldsAPort() throws Exception {
        for (int held = 0; held < PORTS; held++) {
            List<InetSocketAddress> addresses = new ArrayList<>();
            try (ServerSocket holder = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                for (int port = 0; port < PORTS; port++) {
                    addresses.add(new InetSocketAddress(
                            InetAddress.getLoopbackAddress(), port == held ? holder.getLocalPort() : 0));
                }
                Gateway gateway = newGateway(addresses);
                assertThrows(IOException.class, gateway::start);
            }
            eventLoops.next().submit(() -> {}).get(10, TimeUnit.SECONDS);
            assertThat(store.lists()).isEmpty();
            assertThat(store.openedLeases()).isEmpty();
            assertThat(store.endedLeases()).isEmpty();
        }
    }

    private Gateway newGateway(List<InetSocketAddress> addresses) {
        InetSocketAddress unused = InetSocketAddress.createUnresolved("unused", 1);
        GatewaySettings settings = new GatewaySettings(
                "vm",
                "east",
                Map.of(),
                addresses.get(0),
                addresses.get(1),
                addresses.get(2),
                addresses.get(3),
                unused,
                unused,
                GatewayFixture.GRACE_MILLIS,
                GatewayFixture.EVACUATION_LIMIT_MILLIS,
                GatewayFixture.CLIENT_LIMITS);
        Gateway.Ports ports = new Gateway.Ports(
                store,
                (group, member, leaseHolder, fencingToken) ->
                        CompletableFuture.completedFuture(PromotionAuthority.Result.REJECTED),
                (window, counts, leaseHolder, fencingToken) ->
                        CompletableFuture.completedFuture(UsageAuthority.Result.REJECTED),
                new GatewayFixture.ReportCodec(),
                new TextRecordCodec(),
                new HttpPaths("/ready", "/metrics"));
        return new Gateway(settings, ports, eventLoops, OutputStream.nullOutputStream());
    }
}
