package org.banyanhook.testbed.line;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.io.Closer;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.banyanhook.platform.PlatformDaemon;
import org.banyanhook.testbed.fleet.ChildProcess;
import org.banyanhook.testbed.fleet.LoopbackPorts;
import org.banyanhook.testbed.http.JsonHttpServer;
import org.banyanhook.testbed.http.JsonReply;
import org.banyanhook.testbed.http.JsonRequest;

/** Gateways as real processes on loopback, with stand-ins for the platform. */
public final class GatewayFleet implements AutoCloseable {

    /** The client accounts' keys, in the order of their names account-0 and account-1. */
    public static final List<String> API_KEYS = List.of("key-0", "key-1");

    private static final int MAXIMUM_LOG_LINES_SHOWN = 15;

    private final Closer closer = Closer.create();
    private final StoreStandIn store = new StoreStandIn();
    private final JsonHttpServer promotionAuthority;
    private final LineGroup group;
    private final EndpointProvider endpointProvider;
    private final Path folder;
    private final List<Gateway> gateways = new ArrayList<>();
    private final AtomicInteger promotionRequestCount = new AtomicInteger();
    private int configurationVersion;
    private int launchCount;

    /**
     * A running gateway.
     *
     * @param process its process
     * @param clientPort where callers connect
     * @param readinessPort where readiness is asked for
     */
    public record Gateway(ChildProcess process, int clientPort, int readinessPort) {}

    /** Tells each gateway where it finds the store and the authority. */
    public interface EndpointProvider {
        /** The links without anything between. */
        EndpointProvider DIRECT = (gateway, fleet) ->
                new GatewayEndpoints(fleet.store().address(), fleet.promotionAuthority.address(), LoopbackPorts.free());

        /**
         * Returns the surroundings of a gateway.
         *
         * @param gateway its number
         * @param fleet the fleet, whose members are running
         * @throws IOException if a port cannot be opened
         */
        GatewayEndpoints endpointsOf(int gateway, GatewayFleet fleet) throws IOException;
    }

    /**
     * What one gateway is told of its surroundings.
     *
     * @param storeAddress where it finds the store
     * @param promotionAuthorityAddress where it finds the authority
     * @param peerPort where it listens for other gateways, at the IP number of its own
     */
    public record GatewayEndpoints(String storeAddress, String promotionAuthorityAddress, int peerPort) {}

    /**
     * Starts a group of three members and gateways before it.
     *
     * @param folder takes settings and logs
     * @param gatewayCount how many gateways
     * @throws IOException if a port or process cannot be started
     */
    public GatewayFleet(Path folder, int gatewayCount) throws IOException {
        this(folder, gatewayCount, EndpointProvider.DIRECT);
    }

    /**
     * Starts a group of three members and gateways before it.
     *
     * @param folder takes settings and logs
     * @param gatewayCount how many gateways
     * @param endpointProvider tells each gateway its surroundings
     * @throws IOException if a port or process cannot be started
     */
    public GatewayFleet(Path folder, int gatewayCount, EndpointProvider endpointProvider) throws IOException {
        this.folder = folder;
        this.endpointProvider = endpointProvider;
        closer.register(store::close);
        this.promotionAuthority = JsonHttpServer.start("authority", 0, this::promote, text -> {});
        closer.register(promotionAuthority::close);
        this.group = new LineGroup("group", store, List.of("a", "b", "c"));
        closer.register(group::close);
        configureAccounts(API_KEYS, 1_000);
        for (int number = 0; number < gatewayCount; number++) {
            gateways.add(startGateway(number));
        }
    }

    /**
     * Starts a gateway again that has ended, with the settings and ports that it had.
     *
     * @param number the gateway
     * @throws IOException if it cannot be started
     */
    public synchronized void restart(int number) throws IOException {
        Gateway previous = gateways.get(number);
        previous.process().close();
        gateways.set(number, new Gateway(launchProcess(number), previous.clientPort(), previous.readinessPort()));
    }

    /** Returns the IP number on which a gateway listens for the others. */
    public static String peerHost(int number) {
        return "127.0.0." + (number + 2);
    }

    /** Returns where promotions are ordered. */
    public String promotionAuthorityAddress() {
        return promotionAuthority.address();
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
    public synchronized List<Gateway> gateways() {
        return List.copyOf(gateways);
    }

    /** Returns how many promotions were ordered. */
    public int promotionRequestCount() {
        return promotionRequestCount.get();
    }

    /** Writes a new configuration, where account-N has the N-th key and all have the same rate. */
    public void configureAccounts(List<String> enabledKeys, double ratePerSecond) {
        configurationVersion++;
        StringBuilder accounts = new StringBuilder();
        for (int number = 0; number < API_KEYS.size(); number++) {
            String grantedKey = enabledKeys.contains(API_KEYS.get(number)) ? "\"" + API_KEYS.get(number) + "\"" : "";
            accounts.append(number == 0 ? "" : ",")
                    .append("{\"name\":\"account-" + number + "\",\"api_keys\":[" + grantedKey + "],\"priority\":1,"
                            + "\"rate_per_s\":" + ratePerSecond + ",\"burst\":" + ratePerSecond
                            + ",\"allowed_regions\":[]}");
        }
        store.put(
                "op/config",
                "{\"version\":" + configurationVersion + ",\"routes\":[" + routeJson("current", "primary", 0) + ","
                        + routeJson("bounded", "bounded_staleness", 1_500) + ","
                        + routeJson("own", "read_your_writes", 2_500)
                        + "],\"backends\":[{\"name\":\"group\",\"max_conns\":16}],\"limits\":{\"idle_tx_ms\":1500},"
                        + "\"tenants\":[" + accounts + "]}");
    }

    @Override
    public void close() throws IOException {
        gateways.forEach(gateway -> gateway.process().terminate());
        closer.close();
    }

    private static String routeJson(String database, String routeType, int maximumStalenessMillis) {
        return "{\"name\":\"r-" + database + "\",\"host\":\"" + database + "\",\"prefix\":\"/\",\"route_type\":\""
                + routeType
                + "\",\"timeout_ms\":2000,\"target_latency_ms\":500,\"priority\":1,\"backend\":\"group\",\"attempts\":2,"
                + "\"max_staleness_ms\":" + maximumStalenessMillis + ",\"public\":false,\"allowed_regions\":[]}";
    }

    private Gateway startGateway(int number) throws IOException {
        GatewayEndpoints endpoints = endpointProvider.endpointsOf(number, this);
        int clientPort = LoopbackPorts.free();
        int readinessPort = LoopbackPorts.free();
        String failureDomain = List.of("a", "b", "c").get(number % 3);
        Path settings = folder.resolve("node-" + number + ".toml");
        Files.writeString(
                settings,
                String.join(
                        "\n",
                        "node = \"edge-" + number + "\"",
                        "ip = \"" + peerHost(number) + "\"",
                        "zone = \"" + failureDomain + "\"",
                        "internal_ports = [" + endpoints.peerPort() + "]",
                        "[zones]",
                        "a = \"r\"",
                        "b = \"r\"",
                        "c = \"r\"",
                        "[listen]",
                        "frontend = \"127.0.0.1:" + clientPort + "\"",
                        "readiness = \"127.0.0.1:" + readinessPort + "\"",
                        "metrics = \"127.0.0.1:" + LoopbackPorts.free() + "\"",
                        "[bounds]",
                        "grace_s = 3",
                        "[platform]",
                        "address = \"" + endpoints.storeAddress() + "\"",
                        "[cloud_api]",
                        "address = \"" + endpoints.promotionAuthorityAddress() + "\""));
        return new Gateway(launchProcess(number), clientPort, readinessPort);
    }

    private ChildProcess launchProcess(int number) throws IOException {
        launchCount++;
        ChildProcess process = ChildProcess.start(
                PlatformDaemon.class,
                List.of(folder.resolve("node-" + number + ".toml").toString()),
                folder.resolve("log-" + number + "-" + launchCount + ".json"));
        closer.register(process);
        return process;
    }

    private CompletableFuture<JsonReply> promote(JsonRequest request) {
        promotionRequestCount.incrementAndGet();
        try {
            group.promote(new ObjectMapper().readTree(request.body()).path("id").asText());
            return CompletableFuture.completedFuture(JsonReply.ok(List.of()));
        } catch (IOException exception) {
            return CompletableFuture.completedFuture(JsonReply.empty(400));
        }
    }

    /** Returns the last lines that each gateway printed, to explain a test that failed. */
    public String lastLogLines() throws IOException {
        StringBuilder text = new StringBuilder();
        for (Gateway gateway : gateways()) {
            List<String> lines = Files.readAllLines(gateway.process().output());
            text.append(gateway.process().output().getFileName())
                    .append(gateway.process().isAlive() ? " (running)" : " (ended)")
                    .append(System.lineSeparator());
            lines.stream()
                    .skip(Math.max(0, lines.size() - MAXIMUM_LOG_LINES_SHOWN))
                    .forEach(line -> text.append(line).append(System.lineSeparator()));
        }
        return text.toString();
    }
}
