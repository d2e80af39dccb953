import com.sun.net.httpserver.HttpServer;
import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Daemons of the project, started by the command of the deploy file, with one service of three members and stand-ins
 * for the platform. Proxies lie between each daemon and the members, the other daemons and the promotion address.
 */
final class Fleet implements AutoCloseable {
    static final String SERVICE = "orders-db-1";
    static final String KEY = "u3f1";
    static final int TENANTS = 8;
    static final List<String> ZONES = List.of("zone-a", "zone-b", "zone-c");

    /** The zones of the members; the last two are started to replace others. */
    private static final List<String> MEMBER_ZONES = List.of("zone-a", "zone-b", "zone-c", "zone-a", "zone-b");

    final Journal journal;
    final Store store;
    final Group group;
    final List<Daemon> daemons = new ArrayList<>();
    /** The calls of the promotion address, in the order in which the platform received them. */
    final List<Promotion> promotions = new ArrayList<>();

    private final Path folder;
    private final HttpServer authority;
    private final List<Link> links = new ArrayList<>();

    record Promotion(double at, String holder, long token, String member, int status) {}

    /** A daemon and what lies between it and the others. */
    static final class Daemon {
        int number;
        String node;
        String zone;
        String ip;
        InetSocketAddress frontend;
        InetSocketAddress readiness;
        int peerPort;
        Path settings;
        Path log;
        Process process;
        Link toAuthority;
        final Map<Integer, Link> toMembers = new HashMap<>();
        final Map<Integer, Link> toDaemons = new HashMap<>();
    }

    Fleet(Journal journal, int daemonCount) throws IOException {
        this.journal = journal;
        this.folder = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::killDaemons));
        this.store = new Store(journal);
        this.group = new Group(SERVICE, MEMBER_ZONES, store, journal);
        this.authority = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 50);
        authority.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "authority");
            thread.setDaemon(true);
            return thread;
        }));
        authority.createContext("/promote", exchange -> {
            Map<String, Object> body =
                    Json.object(new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8));
            String member = (String) body.get("id");
            String holder = exchange.getRequestHeaders().getFirst("X-Lease-Holder");
            long token = Long.parseLong(exchange.getRequestHeaders().getFirst("X-Fencing-Token"));
            int status;
            synchronized (promotions) {
                status = group.promote(member);
                promotions.add(new Promotion(journal.seconds(), holder, token, member, status));
            }
            journal.line("platform", "POST /promote " + member + " by " + holder + " token " + token + ": " + status);
            exchange.sendResponseHeaders(status, -1);
            exchange.close();
        });
        authority.start();
        store.put("op/config", configuration());
        for (int number = 0; number < daemonCount; number++) {
            prepare(number);
        }
        for (Daemon daemon : daemons) {
            for (Daemon other : daemons) {
                if (other != daemon) {
                    daemon.toDaemons.put(
                            other.number, link(new InetSocketAddress(other.ip, other.peerPort), false, 0));
                }
            }
            writeSettings(daemon);
            launch(daemon);
        }
        for (Daemon daemon : daemons) {
            awaitReady(daemon);
        }
    }

    private Link link(InetSocketAddress target, boolean retransmission, long dropMillis) throws IOException {
        Link link = new Link(target, retransmission, dropMillis);
        links.add(link);
        return link;
    }

    /** The key of a tenant; that of the first is {@link #KEY}. */
    static String key(int tenant) {
        return "u3f" + (tenant + 1);
    }

    /** A route of each type, the limits and the tenants, like a small site's. */
    private static String configuration() {
        StringBuilder routes = new StringBuilder();
        for (String type : List.of("primary", "bounded_staleness", "read_your_writes")) {
            routes.append(routes.length() == 0 ? "" : ",")
                    .append("{\"name\":\"r-" + type + "\",\"host\":\"" + type + "\",\"prefix\":\"/\",\"route_type\":\""
                            + type + "\",\"timeout_ms\":"
                            + (type.equals("primary") ? 1_000 : 2_000) + ",\"target_latency_ms\":600,\"priority\":1,\"backend\":\""
                            + SERVICE + "\",\"attempts\":2,\"max_staleness_ms\":1500,\"public\":false,"
                            + "\"allowed_regions\":[]}");
        }
        StringBuilder tenants = new StringBuilder();
        for (int tenant = 0; tenant < TENANTS; tenant++) {
            tenants.append(tenant == 0 ? "" : ",")
                    .append("{\"name\":\"tenant" + tenant + "\",\"api_keys\":[\"" + key(tenant)
                            + "\"],\"rate_per_s\":2000,\"burst\":2000,\"allowed_regions\":[]}");
        }
        return "{\"version\":7,\"routes\":[" + routes + "],\"backends\":[{\"name\":\"" + SERVICE
                + "\",\"max_conns\":37,\"warmup_per_s\":1000}],\"limits\":{\"idle_tx_ms\":10000},\"tenants\":[" + tenants + "]}";
    }

    private void prepare(int number) throws IOException {
        Daemon daemon = new Daemon();
        daemon.number = number;
        daemon.node = "edge-" + ZONES.get(number % 3) + "-" + (number / 3 + 1);
        daemon.zone = ZONES.get(number % 3);
        daemon.ip = "127.0.1." + (number + 1);
        daemon.frontend = new InetSocketAddress(daemon.ip, freePort(daemon.ip));
        daemon.readiness = new InetSocketAddress(daemon.ip, freePort(daemon.ip));
        daemon.peerPort = freePort(daemon.ip);
        daemon.settings = folder.resolve(daemon.node + ".toml");
        daemon.log = folder.resolve(daemon.node + ".log");
        daemon.toAuthority = link(authority.getAddress(), true, 0);
        for (int member = 0; member < group.members.size(); member++) {
            daemon.toMembers.put(member, link(group.members.get(member).address(), false, 3_000));
        }
        daemons.add(daemon);
    }

    /** Replaces the addresses of members and daemons by those of the proxies before one daemon. */
    private String view(Daemon reader, String text) {
        String result = text;
        for (int member = 0; member < group.members.size(); member++) {
            int port = group.members.get(member).listener.getLocalPort();
            result = result.replace(
                    "\"127.0.0.1:" + port + "\"", "\"" + reader.toMembers.get(member).address() + "\"");
        }
        for (Daemon other : daemons) {
            if (other != reader) {
                result = result.replace(
                        "\"" + other.ip + ":" + other.peerPort + "\"",
                        "\"" + reader.toDaemons.get(other.number).address() + "\"");
            }
        }
        return result;
    }

    private void writeSettings(Daemon daemon) throws IOException {
        InetSocketAddress storeAddress = store.open(daemon.node, text -> view(daemon, text));
        StringBuilder zones = new StringBuilder();
        ZONES.forEach(zone -> zones.append(zone + " = \"region\"\n"));
        Files.writeString(
                daemon.settings,
                String.join(
                        "\n",
                        "node = \"" + daemon.node + "\"",
                        "role = \"gateway\"",
                        "machine_class = \"edge\"",
                        "serves = [\"edge\"]",
                        "ip = \"" + daemon.ip + "\"",
                        "zone = \"" + daemon.zone + "\"",
                        "region = \"region\"",
                        "internal_ports = [" + daemon.peerPort + "," + daemon.peerPort + "]",
                        "seeds = []",
                        "bootstrap = true",
                        "heartbeat_ms = 1200",
                        "[zones]",
                        zones.toString(),
                        "[listen]",
                        "frontend = \"" + text(daemon.frontend) + "\"",
                        "readiness = \"" + text(daemon.readiness) + "\"",
                        "metrics = \"" + daemon.ip + ":" + freePort(daemon.ip) + "\"",
                        "[bounds]",
                        "contact_ms = 5000",
                        "grace_s = 6",
                        "require_fencing = false",
                        "thaw_ms = 300",
                        "[platform]",
                        "address = \"" + text(storeAddress) + "\"",
                        "form = \"kv\"",
                        "writes_per_s = 400",
                        "reads_per_s = 2000",
                        "[cloud_api]",
                        "address = \"" + daemon.toAuthority.address() + "\"",
                        "rate_per_s = 50.0",
                        "duties = [\"failover\"]",
                        "duty_per_s = 50.0",
                        ""));
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    static int freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return socket.getLocalPort();
        }
    }

    /** Starts a daemon by the command of the deploy file, in the repository's root. */
    void launch(Daemon daemon) throws IOException {
        Matcher command = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!command.find()) {
            throw new IOException("deploy/system.toml has no run command");
        }
        ProcessBuilder builder = new ProcessBuilder(command.group(1).split(" "));
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("BANYANHOOK_SETTINGS", daemon.settings.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(daemon.log.toFile()));
        daemon.process = builder.start();
        journal.line("script", "starts " + daemon.node + " as process " + daemon.process.pid());
    }

    void awaitReady(Daemon daemon) throws IOException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (System.nanoTime() - deadline < 0) {
            try {
                HttpURLConnection call = (HttpURLConnection)
                        URI.create("http://" + text(daemon.readiness) + "/api/readyz").toURL().openConnection();
                call.setConnectTimeout(500);
                call.setReadTimeout(500);
                if (call.getResponseCode() == 200) {
                    return;
                }
            } catch (IOException exception) {
                // It is starting.
            }
            Group.sleep(50);
        }
        throw new IOException(daemon.node + " was not ready within 20 s");
    }

    /** Cuts a zone off from the others, or ends the cut; clients and the platform still reach it. */
    void cutZone(String zone, boolean value) {
        for (Daemon daemon : daemons) {
            boolean inside = daemon.zone.equals(zone);
            daemon.toMembers.forEach((member, link) -> {
                if (group.members.get(member).zone.equals(zone) != inside) {
                    link.cut(value);
                }
            });
            daemon.toDaemons.forEach((other, link) -> {
                if (daemons.get(other).zone.equals(zone) != inside) {
                    link.cut(value);
                }
            });
        }
        group.reach(value ? (one, other) -> one.zone.equals(zone) == other.zone.equals(zone) : (one, other) -> true);
    }

    /** Makes a member dark, or ends that; its connections are lost. */
    void darkMember(int member, boolean value) {
        for (Daemon daemon : daemons) {
            daemon.toMembers.get(member).cut(value);
            if (!value) {
                daemon.toMembers.get(member).resetPresent();
            }
        }
        group.dark(group.members.get(member), value);
    }

    /** Copies the daemons' logs into a folder, for reading. */
    void keepLogs(String target) throws IOException {
        for (Daemon daemon : daemons) {
            Files.copy(
                    daemon.log,
                    Path.of(target, daemon.node + ".log"),
                    java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        }
    }

    private void killDaemons() {
        for (Daemon daemon : daemons) {
            if (daemon.process != null) {
                daemon.process.destroyForcibly();
            }
        }
    }

    @Override
    public void close() throws IOException {
        killDaemons();
        for (Daemon daemon : daemons) {
            try {
                daemon.process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
        }
        authority.stop(0);
        for (Link link : links) {
            link.close();
        }
        group.close();
        store.close();
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        }
    }
}
