package org.banyanhook.testbed.line;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.io.Closer;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.banyanhook.platform.PlatformDaemon;
import org.banyanhook.testbed.fleet.ChildProcess;
import org.banyanhook.testbed.fleet.LoopbackPorts;
import org.banyanhook.testbed.http.JsonHttpServer;
import org.banyanhook.testbed.http.JsonReply;
import org.banyanhook.testbed.http.JsonRequest;

/** Runs gateways as separate processes on loopback addresses, with in-process stand-ins for the platform. */
public final class GatewayFleet implements AutoCloseable {

    /** The API keys of the client accounts account-0 and account-1, in this order. */
    public static final List<String> API_KEYS = List.of("key-0", "key-1");

    private static final int MAXIMUM_LOG_LINES_SHOWN = 15;

    private final Closer closer = Closer.create();
    private final StoreStandIn store = new StoreStandIn();
    private final JsonHttpServer promotionAuthority;
    private final LineGroup group;
    private final EndpointProvider endpointProvider;
    private final ProcessLimits limits;
    private final Path folder;
    private final List<Gateway> gateways = new ArrayList<>();
    private final AtomicInteger promotionRequestCount = new AtomicInteger();
    private final Map<String, Long> withdrawnSinceNanos = new HashMap<>();
    private int configurationVersion;
    private int connectionLimit = 16;
    private int synchronousReplicas;
    private int launchCount;

    /**
     * A gateway process and its ports.
     *
     * @param process the process
     * @param clientPort the port for callers
     * @param readinessPort the port of the readiness check
     */
    public record Gateway(ChildProcess process, int clientPort, int readinessPort) {}

    /** Provides the addresses that each gateway uses, so that a test can place proxies in between. */
    public interface EndpointProvider {
        /** Provides the addresses of the stand-ins themselves, without proxies. */
        EndpointProvider DIRECT = (gateway, fleet) ->
                new GatewayEndpoints(fleet.store().address(), fleet.promotionAuthority.address(), LoopbackPorts.free());

        /**
         * Returns the endpoints of a gateway.
         *
         * @param gateway the number of the gateway
         * @param fleet the fleet, whose store, promotion authority and members are already running
         * @return the endpoints
         * @throws IOException if a port cannot be opened
         */
        GatewayEndpoints endpointsOf(int gateway, GatewayFleet fleet) throws IOException;

        /** Returns the failure domain of a gateway. */
        default String failureDomainOf(int gateway) {
            return List.of("a", "b", "c").get(gateway % 3);
        }

        /** Returns the region of a failure domain; all of them are in one region unless a test separates them. */
        default String regionOf(String failureDomain) {
            return "r";
        }
    }

    /**
     * The endpoints in the settings of one gateway.
     *
     * @param storeAddress the address of the store
     * @param promotionAuthorityAddress the address of the promotion authority
     * @param peerPort the port on which the gateway listens for other gateways, at {@link #peerHost}
     */
    public record GatewayEndpoints(String storeAddress, String promotionAuthorityAddress, int peerPort) {}

    /**
     * The limits of each gateway process.
     *
     * @param javaFlags flags of the Java machine, such as the size of the heap
     * @param settings the lines of the table {@code limits} of the settings; without lines the table is left out
     */
    public record ProcessLimits(List<String> javaFlags, List<String> settings) {
        /** The limits that apply if a test sets none. */
        public static final ProcessLimits DEFAULT = new ProcessLimits(List.of(), List.of());
    }

    /**
     * Starts a database group of three members, and gateways in front of it.
     *
     * @param folder the folder for settings and logs
     * @param gatewayCount the number of gateways
     * @throws IOException if a port or process cannot be started
     */
    public GatewayFleet(Path folder, int gatewayCount) throws IOException {
        this(folder, gatewayCount, EndpointProvider.DIRECT);
    }

    /**
     * Starts a database group of three members, and gateways in front of it.
     *
     * @param folder the folder for settings and logs
     * @param gatewayCount the number of gateways
     * @param endpointProvider provides the endpoints of each gateway
     * @throws IOException if a port or process cannot be started
     */
    public GatewayFleet(Path folder, int gatewayCount, EndpointProvider endpointProvider) throws IOException {
        this(folder, gatewayCount, endpointProvider, ProcessLimits.DEFAULT);
    }

    /**
     * Starts a database group of three members, and gateways in front of it.
     *
     * @param folder the folder for settings and logs
     * @param gatewayCount the number of gateways
     * @param endpointProvider provides the endpoints of each gateway
     * @param limits the limits of each gateway
     * @throws IOException if a port or process cannot be started
     */
    public GatewayFleet(Path folder, int gatewayCount, EndpointProvider endpointProvider, ProcessLimits limits)
            throws IOException {
        this.limits = limits;
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
     * Restarts a gateway with the same settings and ports, after closing its previous process.
     *
     * @param number the number of the gateway
     * @throws IOException if the process cannot be started
     */
    public synchronized void restart(int number) throws IOException {
        Gateway previous = gateways.get(number);
        previous.process().close();
        gateways.set(number, new Gateway(launchProcess(number), previous.clientPort(), previous.readinessPort()));
    }

    /**
     * Starts one more gateway.
     *
     * @throws IOException if a port cannot be opened or the process cannot be started
     */
    public synchronized void add() throws IOException {
        gateways.add(startGateway(gateways.size()));
    }

    /** Returns the IP address on which a gateway listens for the other gateways. */
    public static String peerHost(int number) {
        return "127.0.0." + (number + 2);
    }

    /** Returns the address of the promotion authority. */
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

    /** Returns the number of promotion requests received. */
    public int promotionRequestCount() {
        return promotionRequestCount.get();
    }

    /**
     * Writes a new configuration version in which all accounts have the same rate.
     *
     * @param enabledKeys the keys that are granted, each to the account of its index in {@link #API_KEYS}
     * @param ratePerSecond the rate of each account, which is also its burst
     */
    public synchronized void configureAccounts(List<String> enabledKeys, double ratePerSecond) {
        configurationVersion++;
        enabledKeys.forEach(withdrawnSinceNanos::remove);
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
                        + "],\"backends\":[{\"name\":\"group\",\"max_conns\":" + connectionLimit
                        + ",\"sync_replicas\":" + synchronousReplicas + "}],\"limits\":{\"idle_tx_ms\":1500},"
                        + "\"tenants\":[" + accounts + "]}");
        API_KEYS.stream()
                .filter(key -> !enabledKeys.contains(key))
                .forEach(key -> withdrawnSinceNanos.putIfAbsent(key, System.nanoTime()));
    }

    /** Sets how many connections a member accepts according to the configurations that are written from now on. */
    public synchronized void connectionLimit(int value) {
        connectionLimit = value;
    }

    /**
     * Sets how many replicas receive a commit before it is acknowledged, according to the configurations that are
     * written from now on.
     */
    public synchronized void synchronousReplicas(int value) {
        synchronousReplicas = value;
    }

    /** Returns the version of the newest configuration. */
    public synchronized int configurationVersion() {
        return configurationVersion;
    }

    /** Returns the keys that the newest configuration grants. */
    public synchronized List<String> enabledKeys() {
        return API_KEYS.stream()
                .filter(key -> !withdrawnSinceNanos.containsKey(key))
                .toList();
    }

    /** Returns for how long a key has been withdrawn, in nanoseconds; 0 if it is granted. */
    public synchronized long nanosSinceWithdrawal(String key) {
        Long withdrawn = withdrawnSinceNanos.get(key);
        return withdrawn == null ? 0 : System.nanoTime() - withdrawn;
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
        String failureDomain = endpointProvider.failureDomainOf(number);
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
                        regionLine("a"),
                        regionLine("b"),
                        regionLine("c"),
                        "[listen]",
                        "frontend = \"127.0.0.1:" + clientPort + "\"",
                        "readiness = \"127.0.0.1:" + readinessPort + "\"",
                        "metrics = \"127.0.0.1:" + LoopbackPorts.free() + "\"",
                        "[bounds]",
                        "grace_s = 3",
                        "[platform]",
                        "address = \"" + endpoints.storeAddress() + "\"",
                        "[cloud_api]",
                        "address = \"" + endpoints.promotionAuthorityAddress() + "\"",
                        limits.settings().isEmpty() ? "" : "[limits]\n" + String.join("\n", limits.settings())));
        return new Gateway(launchProcess(number), clientPort, readinessPort);
    }

    private String regionLine(String failureDomain) {
        return failureDomain + " = \"" + endpointProvider.regionOf(failureDomain) + "\"";
    }

    private ChildProcess launchProcess(int number) throws IOException {
        launchCount++;
        ChildProcess process = ChildProcess.start(
                PlatformDaemon.class,
                limits.javaFlags(),
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

    /** Returns the last output lines of each gateway, to diagnose a failed test. */
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
