package org.banyanhook.daemon;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.sun.net.httpserver.HttpServer;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;
import org.banyanhook.daemon.settings.DaemonSettings;
import org.banyanhook.daemon.settings.SettingsLoader;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The start of a daemon while another one runs under its name. */
final class DaemonAssemblyTest {

    private final AtomicInteger platformCalls = new AtomicInteger();
    private HttpServer platform;

    @BeforeEach
    void startPlatform() throws Exception {
        platform = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        platform.createContext("/", exchange -> {
            platformCalls.incrementAndGet();
            exchange.sendResponseHeaders(503, -1);
            exchange.close();
        });
        platform.start();
    }

    @AfterEach
    void stopPlatform() {
        platform.stop(0);
    }

    /** The second daemon marked the allotment of the first for reclaim before it found the ports taken. */
    @Test
    void daemonWhosePeerPortIsTakenDoesNotActForTheOneThatRuns() throws Exception {
        try (ServerSocket first = new ServerSocket(0, 0, InetAddress.getLoopbackAddress())) {
            DaemonSettings settings = settings(first.getLocalPort());
            assertThrows(DaemonStartException.class, () -> DaemonAssembly.start(settings));
        }
        assertThat(platformCalls.get()).isEqualTo(0);
    }

    private DaemonSettings settings(int peerPort) throws Exception {
        return new SettingsLoader().parse("daemon.yaml", """
                        entryVm: entry-1
                        failureDomain: ulsan-a
                        region: yeongnam
                        callers:
                          address: 127.0.0.1:0
                        peers:
                          address: 127.0.0.1:%d
                          seeds: []
                        administration:
                          address: 127.0.0.1:0
                          operatorKeys:
                            - name: kim
                              hash: %s
                              role: operate
                        platform:
                          address: 127.0.0.1:%d
                        """.formatted(
                        peerPort, "ab".repeat(32), platform.getAddress().getPort()));
    }
}
