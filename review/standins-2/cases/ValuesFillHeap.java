import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients of one key set session values in transactions, each session after the other, and leave. Counts how often the
 * processes of two gateways end by themselves, and whether they answer ordinary requests afterwards. A process that has
 * ended is started again after a second.
 */
public final class ValuesFillHeap {
    private static final int HELD = 0;
    private static final int BROKEN = 1;
    private static final int NOT_RUN = 2;
    /** The sessions that fill one after the other and leave, and those that stay and go on with small values. */
    private static final int LEAVING_SESSIONS = 22;

    private static final int STAYING_SESSIONS = 8;
    private static final int VALUES_OF_LEAVING_SESSION = 144;
    private static final int LARGE_VALUE = 64_000;
    private static final int SMALL_VALUE = 1_000;
    private static final int HALF_MESSAGES = 600;
    private static final int ENDS_THAT_COUNT = 3;
    /** How long a process that answers nothing is observed after its clients have left before it counts as hung. */
    private static final long HUNG_MILLIS = 30_000;

    private static final long OBSERVATION_MILLIS = 8_000;
    private static final long LAST_FILL_MILLIS = 62_000;
    private static final long END_MILLIS = 108_000;

    private ValuesFillHeap() {}

    public static void main(String[] arguments) throws Exception {
        Path root = Path.of(arguments[0]);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("review-9-");
        int code;
        try (Recorder record = new Recorder(Path.of(arguments[1]))) {
            code = play(root, folder, record, trouble);
            record.line("exit " + code);
        }
        System.exit(code);
    }

    private static int play(Path root, Path folder, Recorder record, boolean trouble) throws Exception {
        Map<String, String> zones = new LinkedHashMap<>();
        zones.put("za", "ra");
        zones.put("zb", "rb");
        zones.put("zc", "rc");
        AtomicBoolean running = new AtomicBoolean(true);
        try (StoreServer store = new StoreServer();
                ReplicaGroup group =
                        new ReplicaGroup(Configuration.SERVICE, store, List.copyOf(zones.keySet()), 3, 24, 0, 300, 2);
                PromotionServer promotions = new PromotionServer(Map.of(Configuration.SERVICE, group));
                Gateways gateways = new Gateways(root, folder)) {
            store.put("op/config", Configuration.text(7, 0));
            List<Gateways.Gateway> all = new ArrayList<>();
            for (String zone : zones.keySet()) {
                all.add(gateways.start(new Gateways.Settings(
                        "edge-" + zone + "-1", zone, "127.0.9." + (all.size() + 1), zones, store.address(), promotions.address())));
            }
            if (!Gateways.awaitReady(all, 25_000)) {
                record.line("the gateways did not become ready");
                return NOT_RUN;
            }
            record.line("three gateways are ready");
            List<Machine> machines = List.of(new Machine(gateways, all.get(1), record), new Machine(gateways, all.get(2), record));
            List<Thread> threads = new ArrayList<>();
            for (Machine machine : machines) {
                for (int number = 0; number < 6; number++) {
                    int caller = number;
                    Threads.start("caller", () -> machine.call(caller, running));
                }
                threads.add(Threads.start("machine", () -> machine.run(trouble)));
            }
            for (Thread thread : threads) {
                thread.join();
            }
            running.set(false);
            int failed = 0;
            for (Machine machine : machines) {
                record.line(machine.gateway.settings().node() + " ended by itself " + machine.ends + " times, hung: " + machine.hung
                        + "; ordinary requests answered " + machine.answered + ", not answered " + machine.unanswered);
                failed += machine.hung || machine.ends >= ENDS_THAT_COUNT ? 1 : 0;
            }
            if (machines.stream().anyMatch(machine -> machine.answered.get() == 0)) {
                return NOT_RUN;
            }
            return failed >= 2 ? BROKEN : HELD;
        } finally {
            running.set(false);
        }
    }

    /** One gateway, its ordinary callers and the clients that fill it. */
    private static final class Machine {
        private final Gateways gateways;
        private final Recorder record;
        private final AtomicInteger answered = new AtomicInteger();
        private final AtomicInteger unanswered = new AtomicInteger();
        private volatile Gateways.Gateway gateway;
        private int ends;
        private boolean hung;

        Machine(Gateways gateways, Gateways.Gateway gateway, Recorder record) {
            this.gateways = gateways;
            this.gateway = gateway;
            this.record = record;
        }

        /** An ordinary caller: a session for each operation, a read or a write. */
        void call(int caller, AtomicBoolean running) {
            for (int number = 0; running.get(); number++) {
                String id = gateway.settings().zone() + "-" + caller + "-" + number;
                String result;
                try (ClientSession session = new ClientSession(gateway, 6_000)) {
                    boolean reads = caller % 2 == 0;
                    String refused = session.open(reads ? Configuration.BOUNDED : Configuration.PRIMARY, "key-parish");
                    result = refused.isEmpty() ? session.query(id, reads ? "READ 1a4" : "WRITE " + id + " data").error() : refused;
                    answered.incrementAndGet();
                } catch (IOException ended) {
                    result = ended.getMessage();
                    unanswered.incrementAndGet();
                }
                if (!result.isEmpty()) {
                    record.line(gateway.settings().node() + " ordinary request " + id + ": " + result);
                }
                Threads.sleep(200);
            }
        }

        void run(boolean trouble) {
            try {
                Threads.sleep(2_000);
                while (!hung && ends < ENDS_THAT_COUNT && record.millis() < LAST_FILL_MILLIS) {
                    if (!trouble) {
                        Threads.sleep(20_000);
                        return;
                    }
                    fill();
                    if (gateway.process().isAlive()) {
                        observe();
                    }
                    if (!gateway.process().isAlive()) {
                        ends++;
                        record.line(gateway.settings().node() + " has ended by itself with code " + gateway.process().exitValue() + "; its last lines: "
                                + errors());
                        Threads.sleep(1_000);
                        gateway = gateways.startAgain(gateway);
                        Gateways.awaitReady(List.of(gateway), 10_000);
                    }
                }
            } catch (IOException failed) {
                record.line(gateway.settings().node() + ": " + failed);
            }
        }

        /** Finds out whether a process that has not ended answers ordinary requests after the other clients have left. */
        private void observe() throws IOException {
            String node = gateway.settings().node();
            record.line(node + " is alive; the clients that filled it have left");
            Threads.sleep(OBSERVATION_MILLIS / 2);
            int before = answered.get();
            long soon = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(OBSERVATION_MILLIS / 2);
            while (answered.get() == before && System.nanoTime() - soon < 0) {
                Threads.sleep(100);
            }
            if (answered.get() > before) {
                record.line(node + " answers ordinary requests");
                return;
            }
            long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(HUNG_MILLIS - OBSERVATION_MILLIS);
            while (gateway.process().isAlive()
                    && answered.get() == before
                    && System.nanoTime() - until < 0
                    && record.millis() < END_MILLIS) {
                Threads.sleep(100);
            }
            hung = gateway.process().isAlive() && answered.get() == before;
            if (hung) {
                record.line(node + " has answered no ordinary request for " + (HUNG_MILLIS - OBSERVATION_MILLIS / 2)
                        + " ms with no other client, and is alive; ready: " + Gateways.isReady(gateway) + "; its last lines: " + errors());
            }
        }

        private String errors() throws IOException {
            List<String> lines = Files.readAllLines(gateway.log(), StandardCharsets.ISO_8859_1);
            return String.join(" | ", lines.stream().filter(line -> !line.startsWith("{")).toList());
        }

        /** Fills the process for up to 12 s. */
        private void fill() {
            Gateways.Gateway target = gateway;
            AtomicBoolean filling = new AtomicBoolean(true);
            List<Filler> fillers = new ArrayList<>();
            List<Socket> halves = Collections.synchronizedList(new ArrayList<>());
            long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(12);
            record.line(target.settings().node() + ": " + (LEAVING_SESSIONS + STAYING_SESSIONS) + " sessions of one key begin transactions");
            try {
                for (int number = 0; number < LEAVING_SESSIONS + STAYING_SESSIONS; number++) {
                    fillers.add(new Filler(target, number));
                }
                Threads.start("keeper", () -> keep(fillers, filling));
                int values = 0;
                for (Filler filler : fillers.subList(0, LEAVING_SESSIONS)) {
                    filler.fillAndLeave();
                    values += filler.values;
                }
                record.line(target.settings().node() + ": " + LEAVING_SESSIONS + " of them have set " + values + " values of "
                        + LARGE_VALUE + " bytes and left; " + STAYING_SESSIONS + " go on with values of " + SMALL_VALUE
                        + " bytes, and others send half a message");
                for (Filler filler : fillers.subList(LEAVING_SESSIONS, fillers.size())) {
                    Threads.start("staying", () -> filler.goOn(filling));
                }
                Threads.start("halves", () -> sendHalves(target, halves, filling));
            } catch (IOException closed) {
                record.line(target.settings().node() + ": a filling session was closed: " + closed.getMessage());
            }
            while (target.process().isAlive() && System.nanoTime() - until < 0) {
                Threads.sleep(50);
            }
            filling.set(false);
            fillers.forEach(Filler::close);
            halves.forEach(ValuesFillHeap::close);
        }

        /** Keeps the transactions of the sessions that wait for their turn from being idle. */
        private static void keep(List<Filler> fillers, AtomicBoolean filling) {
            while (filling.get()) {
                Threads.sleep(900);
                fillers.forEach(Filler::readIfWaiting);
            }
        }

        private static void sendHalves(Gateways.Gateway target, List<Socket> halves, AtomicBoolean filling) {
            byte[] half = ("STARTUP " + Configuration.BOUNDED + " key-coop\r\nQUERY x SET a " + "y".repeat(6_000)).getBytes(StandardCharsets.ISO_8859_1);
            while (filling.get() && halves.size() < HALF_MESSAGES) {
                for (int number = 0; number < 10; number++) {
                    Socket socket = new Socket();
                    halves.add(socket);
                    try {
                        socket.connect(new InetSocketAddress(target.settings().ip(), target.clientPort()), 500);
                        socket.getOutputStream().write(half);
                    } catch (IOException refused) {
                        close(socket);
                    }
                }
                Threads.sleep(100);
            }
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException ignored) {
            // Nothing depends on it.
        }
    }

    /** A session that sets values in a transaction. */
    private static final class Filler {
        private final ClientSession session;
        private final int number;
        private int values;
        private int reads;
        private boolean waiting = true;

        Filler(Gateways.Gateway gateway, int number) throws IOException {
            this.number = number;
            session = new ClientSession(gateway, 8_000);
            String refused = session.open(Configuration.BOUNDED, "key-coop");
            if (!refused.isEmpty()) {
                throw new IOException(refused);
            }
            session.query("b" + number, "BEGIN READ");
            read();
        }

        private void read() throws IOException {
            if (!session.query("r" + number + "-" + reads++, "READ 1a4").succeeded()) {
                throw new IOException("the transaction has ended");
            }
        }

        synchronized void readIfWaiting() {
            try {
                if (waiting) {
                    read();
                }
            } catch (IOException ended) {
                waiting = false;
            }
        }

        private void set(int count, int size) throws IOException {
            String value = "x".repeat(size);
            List<String> requests = new ArrayList<>();
            for (int index = 0; index < count; index++) {
                requests.add("s" + number + "-" + values + " SET n" + values++ + " " + value);
            }
            requests.add("r" + number + "-" + reads++ + " READ 1a4");
            if (!session.pipeline(requests).succeeded()) {
                throw new IOException("the transaction has ended");
            }
        }

        synchronized void fillAndLeave() {
            waiting = false;
            try {
                while (values < VALUES_OF_LEAVING_SESSION) {
                    set(8, LARGE_VALUE);
                }
            } catch (IOException ended) {
                // The next session goes on.
            }
            close();
        }

        synchronized void goOn(AtomicBoolean filling) {
            waiting = false;
            try {
                while (filling.get()) {
                    set(4, SMALL_VALUE);
                }
            } catch (IOException ended) {
                close();
            }
        }

        void close() {
            try {
                session.close();
            } catch (IOException ignored) {
                // Nothing depends on it.
            }
        }
    }
}
