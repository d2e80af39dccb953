import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.BindException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The daemons of a case as processes, started with the command of the deploy file, and the platform's promotion call. */
final class Fleet implements AutoCloseable {

    static final String KEY = "u3f1k8s2m4";
    private static final long READY_TIMEOUT_MILLIS = 20_000;
    private static final int GRACE_SECONDS = 6;
    private static final int FIRST_PORT = 15_000;
    private static final int LAST_PORT = 30_000;

    private final Trace trace;
    private final Store store;
    private final Path folder;
    private final Path repository;
    private final Map<String, String> zones = new LinkedHashMap<>();
    private final Map<String, String> regions = new LinkedHashMap<>();
    private final Map<String, Process> processes = new LinkedHashMap<>();
    private final Map<String, Integer> clientPorts = new LinkedHashMap<>();
    private final Map<String, Integer> readinessPorts = new LinkedHashMap<>();
    private final Map<String, String> peerAddresses = new LinkedHashMap<>();
    private final HttpServer promotions;
    private boolean begun;

    /**
     * Prepares a fleet.
     *
     * @param zones the zone of each daemon, by its name
     * @param regions the region of each zone
     */
    Fleet(
            Trace trace,
            Store store,
            Group group,
            Path folder,
            Path repository,
            Map<String, String> zones,
            Map<String, String> regions)
            throws IOException {
        this.trace = trace;
        this.store = store;
        this.folder = folder;
        this.repository = repository;
        this.zones.putAll(zones);
        this.regions.putAll(regions);
        promotions = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 32);
        promotions.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "promotions");
            thread.setDaemon(true);
            return thread;
        }));
        promotions.createContext("/promote", exchange -> {
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            Matcher member = Pattern.compile("\"id\":\"([^\"]*)\"").matcher(body);
            int status = member.find() ? group.promote(member.group(1)) : 400;
            trace.line("platform", "POST /promote " + body + " of "
                    + exchange.getRequestHeaders().getFirst("X-Lease-Holder") + " with token "
                    + exchange.getRequestHeaders().getFirst("X-Fencing-Token") + " -> " + status);
            exchange.sendResponseHeaders(status, -1);
            exchange.close();
        });
        promotions.start();
        int number = 2;
        for (String daemon : zones.keySet()) {
            clientPorts.put(daemon, freePort("127.0.0.1"));
            readinessPorts.put(daemon, freePort("127.0.0.1"));
            String host = "127.0.0." + number++;
            peerAddresses.put(daemon, host + ":" + freePort(host));
        }
    }

    /** Returns the address on which a daemon listens for the others. */
    String peerAddress(String daemon) {
        return peerAddresses.get(daemon);
    }

    /** Starts a daemon. */
    void start(String daemon) throws IOException {
        Path settings = folder.resolve(daemon + ".toml");
        Files.writeString(settings, settings(daemon));
        List<String> command = new ArrayList<>(List.of(command().split(" ")));
        ProcessBuilder builder = new ProcessBuilder(command).directory(repository.toFile());
        builder.environment().put("BANYANHOOK_SETTINGS", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(
                ProcessBuilder.Redirect.appendTo(folder.resolve(daemon + ".log").toFile()));
        processes.put(daemon, builder.start());
        trace.line(daemon, "process started");
    }

    /** Stops a daemon with SIGTERM, as for planned work, and starts it again. */
    void restart(String daemon) throws IOException, InterruptedException {
        trace.line(daemon, "SIGTERM");
        Process process = processes.get(daemon);
        process.destroy();
        if (!process.waitFor(GRACE_SECONDS, TimeUnit.SECONDS)) {
            process.destroyForcibly().waitFor();
        }
        trace.line(daemon, "has ended");
        start(daemon);
    }

    /** Waits until daemons report themselves ready. */
    void awaitReady(Iterable<String> daemons) throws IOException, InterruptedException {
        long deadline = System.nanoTime() + READY_TIMEOUT_MILLIS * 1_000_000;
        for (String daemon : daemons) {
            while (!isReady(daemon)) {
                if (System.nanoTime() - deadline > 0) {
                    throw new IOException(daemon + " did not become ready");
                }
                Thread.sleep(50);
            }
        }
        begun = true;
    }

    boolean isReady(String daemon) {
        try {
            HttpURLConnection connection = (HttpURLConnection)
                    new URL("http://127.0.0.1:" + readinessPorts.get(daemon) + "/api/readyz").openConnection();
            connection.setConnectTimeout(500);
            connection.setReadTimeout(500);
            return connection.getResponseCode() == 200;
        } catch (IOException exception) {
            return false;
        }
    }

    boolean isAlive(String daemon) {
        return processes.get(daemon).isAlive();
    }

    /** Opens a session to a daemon. */
    Client connect(String name, String daemon, String database, String key) throws IOException {
        return new Client(trace, name, daemon, clientPorts.get(daemon), database, key);
    }

    @Override
    public void close() {
        processes.values().forEach(Process::destroyForcibly);
        for (Process process : processes.values()) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
        }
        promotions.stop(0);
    }

    private String command() throws IOException {
        String deploy = Files.readString(repository.resolve("deploy/system.toml"));
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
        if (!run.find()) {
            throw new IOException("deploy/system.toml names no command");
        }
        return run.group(1);
    }

    private String settings(String daemon) throws IOException {
        String zone = zones.get(daemon);
        String peer = peerAddresses.get(daemon);
        String host = peer.substring(0, peer.indexOf(':'));
        StringBuilder zoneLines = new StringBuilder();
        regions.forEach((name, region) -> zoneLines.append(name + " = \"" + region + "\"\n"));
        return String.join(
                "\n",
                "node = \"" + daemon + "\"",
                "role = \"gateway\"",
                "machine_class = \"edge\"",
                "serves = [\"edge\"]",
                "ip = \"" + host + "\"",
                "zone = \"" + zone + "\"",
                "region = \"" + regions.get(zone) + "\"",
                "internal_ports = [" + peer.substring(peer.indexOf(':') + 1) + ","
                        + peer.substring(peer.indexOf(':') + 1) + "]",
                "bootstrap = " + !begun,
                "heartbeat_ms = 1200",
                "[zones]",
                zoneLines.toString(),
                "[listen]",
                "frontend = \"127.0.0.1:" + clientPorts.get(daemon) + "\"",
                "readiness = \"127.0.0.1:" + readinessPorts.get(daemon) + "\"",
                "metrics = \"127.0.0.1:" + freePort("127.0.0.1") + "\"",
                "[limits]",
                "cpu_share = 0.75",
                "cores = 1",
                "memory_mb = 430",
                "max_fds = 4200",
                "[fault_tolerance]",
                "nodes = 2",
                "zones = 1",
                "regions = 1",
                "[bounds]",
                "contact_ms = 5000",
                "drain_ms = 7000",
                "grace_s = " + GRACE_SECONDS,
                "config_apply_ms = 4000",
                "evacuate_ms = 5000",
                "require_fencing = false",
                "thaw_ms = 300",
                "[platform]",
                "address = \"" + store.open(daemon) + "\"",
                "form = \"kv\"",
                "writes_per_s = 400",
                "reads_per_s = 2000",
                "history_s = 20",
                "value_bytes = 1048576",
                "min_ttl_ms = 1000",
                "[cloud_api]",
                "address = \"127.0.0.1:" + promotions.getAddress().getPort() + "\"",
                "rate_per_s = 50.0",
                "duties = [\"failover\"]",
                "duty_per_s = 50.0",
                "");
    }

    /** Returns a port outside of the range from which the kernel takes those of outgoing connections. */
    private static int freePort(String host) throws IOException {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(host))) {
                return socket.getLocalPort();
            } catch (BindException exception) {
                // In use; the next one may be free.
            }
        }
    }
}
