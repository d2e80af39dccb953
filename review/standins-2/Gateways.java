import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Starts gateways as separate processes with the command of the deploy file, and ends them. */
final class Gateways implements AutoCloseable {
    private final Path root;
    private final Path folder;
    private final List<String> command;
    private final List<Process> processes = new ArrayList<>();

    /** What a gateway is started with. */
    record Settings(String node, String zone, String ip, Map<String, String> zones, String store, String cloud) {}

    /** A running gateway. */
    record Gateway(Settings settings, Process process, int clientPort, int readinessPort, int metricsPort, Path file, Path log) {}

    Gateways(Path root, Path folder) throws IOException {
        this.root = root;
        this.folder = folder;
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("deploy/system.toml contains no command");
        }
        this.command = Arrays.asList(run.group(1).split(" "));
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    private static int freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return socket.getLocalPort();
        }
    }

    Gateway start(Settings settings) throws IOException {
        int client = freePort(settings.ip());
        int readiness = freePort(settings.ip());
        int metrics = freePort(settings.ip());
        int peer = freePort(settings.ip());
        StringBuilder zones = new StringBuilder();
        settings.zones().forEach((zone, region) -> zones.append(zone).append(" = \"").append(region).append("\"\n"));
        Path file = folder.resolve(settings.node() + ".toml");
        Files.writeString(
                file,
                """
                node = "%s"
                role = "gateway"
                machine_class = "edge"
                serves = ["edge"]
                ip = "%s"
                zone = "%s"
                region = "%s"
                internal_ports = [%d,%d]
                seeds = []
                bootstrap = true
                heartbeat_ms = 1200
                [zones]
                %s
                [listen]
                frontend = "%s:%d"
                readiness = "%s:%d"
                metrics = "%s:%d"
                [limits]
                cpu_share = 0.75
                cores = 1
                memory_mb = 430
                max_fds = 4200
                link_mbps = 1000.0
                disk_mb = 0
                [bounds]
                contact_ms = 5000
                ack_ms = 6000
                drain_ms = 7000
                grace_s = 6
                loss_slack_ms = 200
                config_apply_ms = 4000
                evacuate_ms = 5000
                recovery_s = 12
                require_fencing = false
                thaw_ms = 300
                [platform]
                address = "%s"
                form = "kv"
                writes_per_s = 400
                reads_per_s = 2000
                history_s = 20
                value_bytes = 1048576
                min_ttl_ms = 1000
                [cloud_api]
                address = "%s"
                rate_per_s = 50.0
                duties = ["failover"]
                duty_per_s = 50.0
                """
                        .formatted(
                                settings.node(), settings.ip(), settings.zone(), settings.zones().get(settings.zone()), peer, peer + 15, zones,
                                settings.ip(), client, settings.ip(), readiness, settings.ip(), metrics, settings.store(), settings.cloud()));
        Path log = folder.resolve(settings.node() + ".log");
        return new Gateway(settings, launch(file, log), client, readiness, metrics, file, log);
    }

    /** Starts a gateway again that has ended, with the same settings. */
    Gateway startAgain(Gateway ended) throws IOException {
        return new Gateway(
                ended.settings(), launch(ended.file(), ended.log()), ended.clientPort(), ended.readinessPort(), ended.metricsPort(),
                ended.file(), ended.log());
    }

    private synchronized Process launch(Path file, Path log) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command)
                .directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.environment().put("BANYANHOOK_SETTINGS", file.toString());
        Process process = builder.start();
        processes.add(process);
        return process;
    }

    /** Returns whether a gateway reports itself ready. */
    static boolean isReady(Gateway gateway) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(gateway.settings().ip(), gateway.readinessPort()), 500);
            socket.setSoTimeout(1_000);
            socket.getOutputStream().write("GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".getBytes());
            byte[] start = socket.getInputStream().readNBytes(12);
            return new String(start).endsWith("200");
        } catch (IOException notYet) {
            return false;
        }
    }

    static boolean awaitReady(List<Gateway> gateways, long millis) {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (System.nanoTime() - until < 0) {
            if (gateways.stream().allMatch(Gateways::isReady)) {
                return true;
            }
            Threads.sleep(100);
        }
        return false;
    }

    @Override
    public synchronized void close() {
        processes.forEach(Process::destroyForcibly);
        for (Process process : processes) {
            try {
                process.waitFor(10, TimeUnit.SECONDS);
            } catch (InterruptedException stopped) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
