package org.banyanhook.testbed.line;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.io.Closer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.banyanhook.platform.PlatformDaemon;
import org.banyanhook.testbed.fleet.ChildProcess;
import org.banyanhook.testbed.http.JsonHttpServer;
import org.banyanhook.testbed.http.JsonReply;
import org.banyanhook.testbed.http.JsonRequest;

/** Gateways as real processes on loopback, with stand-ins for the platform. */
public final class GatewayFleet implements AutoCloseable {

    /** The client accounts' keys, in the order of their names account-0 and account-1. */
    public static final List<String> KEYS = List.of("key-0", "key-1");

    private final Closer closer = Closer.create();
    private final StoreStandIn store = new StoreStandIn();
    private final JsonHttpServer authority;
    private final LineGroup group;
    private final List<Gateway> gateways = new ArrayList<>();
    private final AtomicInteger promotions = new AtomicInteger();
    private int version;

    /**
     * A running gateway.
     *
     * @param process its process
     * @param clientPort where callers connect
     * @param readinessPort where readiness is asked for
     */
    public record Gateway(ChildProcess process, int clientPort, int readinessPort) {}

    /**
     * Starts a group of three members and gateways before it.
     *
     * @param folder takes settings and logs
     * @param count how many gateways
     * @throws IOException if a port or process cannot be started
     */
    public GatewayFleet(Path folder, int count) throws IOException {
        closer.register(store::close);
        this.authority = JsonHttpServer.start("authority", 0, this::promote, text -> {});
        closer.register(authority::close);
        this.group = new LineGroup("group", store, List.of("a", "b", "c"));
        closer.register(group::close);
        configure(KEYS, 1_000);
        for (int number = 0; number < count; number++) {
            gateways.add(start(folder, number));
        }
    }

    /** Returns the store. */
    public StoreStandIn store() {
        return store;
    }

    /** Returns the database group behind the databases {@code current}, {@code bounded} and {@code own}. */
    public LineGroup group() {
        return group;
    }

    /** Returns the gateways. */
    public List<Gateway> gateways() {
        return List.copyOf(gateways);
    }

    /** Returns how many promotions were ordered. */
    public int promotions() {
        return promotions.get();
    }

    /** Writes a new configuration, where account-N has the N-th key and all have the same rate. */
    public void configure(List<String> keys, double ratePerSecond) {
        version++;
        StringBuilder accounts = new StringBuilder();
        for (int number = 0; number < KEYS.size(); number++) {
            String granted = keys.contains(KEYS.get(number)) ? "\"" + KEYS.get(number) + "\"" : "";
            accounts.append(number == 0 ? "" : ",")
                    .append("{\"name\":\"account-" + number + "\",\"api_keys\":[" + granted + "],\"priority\":1,"
                            + "\"rate_per_s\":" + ratePerSecond + ",\"burst\":" + ratePerSecond
                            + ",\"allowed_regions\":[]}");
        }
        store.put(
                "op/config",
                "{\"version\":" + version + ",\"routes\":[" + route("current", "primary", 0) + ","
                        + route("bounded", "bounded_staleness", 1_500) + "," + route("own", "read_your_writes", 2_500)
                        + "],\"backends\":[{\"name\":\"group\",\"max_conns\":16}],\"limits\":{\"idle_tx_ms\":1500},"
                        + "\"tenants\":[" + accounts + "]}");
    }

    @Override
    public void close() throws IOException {
        gateways.forEach(gateway -> gateway.process().terminate());
        closer.close();
    }

    private static String route(String host, String type, int ageMillis) {
        return "{\"name\":\"r-" + host + "\",\"host\":\"" + host + "\",\"prefix\":\"/\",\"route_type\":\"" + type
                + "\",\"timeout_ms\":2000,\"target_latency_ms\":500,\"priority\":1,\"backend\":\"group\",\"attempts\":2,"
                + "\"max_staleness_ms\":" + ageMillis + ",\"public\":false,\"allowed_regions\":[]}";
    }

    private Gateway start(Path folder, int number) throws IOException {
        int clientPort = freePort();
        int readinessPort = freePort();
        String domain = List.of("a", "b", "c").get(number % 3);
        Path settings = folder.resolve("node-" + number + ".toml");
        Files.writeString(
                settings,
                String.join(
                        "\n",
                        "node = \"edge-" + number + "\"",
                        "ip = \"127.0.0." + (number + 2) + "\"",
                        "zone = \"" + domain + "\"",
                        "internal_ports = [" + freePort() + "]",
                        "[zones]",
                        "a = \"r\"",
                        "b = \"r\"",
                        "c = \"r\"",
                        "[listen]",
                        "frontend = \"127.0.0.1:" + clientPort + "\"",
                        "readiness = \"127.0.0.1:" + readinessPort + "\"",
                        "metrics = \"127.0.0.1:" + freePort() + "\"",
                        "[bounds]",
                        "grace_s = 3",
                        "[platform]",
                        "address = \"" + store.address() + "\"",
                        "[cloud_api]",
                        "address = \"" + authority.address() + "\""));
        ChildProcess process = ChildProcess.start(
                PlatformDaemon.class, List.of(settings.toString()), folder.resolve("log-" + number + ".json"));
        closer.register(process);
        return new Gateway(process, clientPort, readinessPort);
    }

    private CompletableFuture<JsonReply> promote(JsonRequest request) {
        promotions.incrementAndGet();
        try {
            group.promote(new ObjectMapper().readTree(request.body()).path("id").asText());
            return CompletableFuture.completedFuture(JsonReply.ok(List.of()));
        } catch (IOException exception) {
            return CompletableFuture.completedFuture(JsonReply.empty(400));
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }
}
