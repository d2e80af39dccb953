import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Crashes a primary with one synchronous replica while one replica is draining and the other has received nothing for
 * two seconds. Compares the commits that clients were told of with the log of the member that is promoted.
 */
public final class SynchronousCommitLost {
    private static final int HELD = 0;
    private static final int BROKEN = 1;
    private static final int NOT_RUN = 2;

    private SynchronousCommitLost() {}

    public static void main(String[] arguments) throws Exception {
        Path root = Path.of(arguments[0]);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("review-6-");
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
        Set<String> told = ConcurrentHashMap.newKeySet();
        ConcurrentLinkedQueue<Thread> writers = new ConcurrentLinkedQueue<>();
        try (StoreServer store = new StoreServer();
                ReplicaGroup group =
                        new ReplicaGroup(Configuration.SERVICE, store, List.copyOf(zones.keySet()), 3, 24, 1, 300, 2);
                PromotionServer promotions = new PromotionServer(Map.of(Configuration.SERVICE, group));
                Gateways gateways = new Gateways(root, folder)) {
            store.put("op/config", Configuration.text(7, 1));
            List<Gateways.Gateway> all = new ArrayList<>();
            for (String zone : zones.keySet()) {
                all.add(gateways.start(new Gateways.Settings(
                        "edge-" + zone + "-1", zone, "127.0.6." + (all.size() + 1), zones, store.address(), promotions.address())));
            }
            if (!Gateways.awaitReady(all, 25_000)) {
                record.line("the gateways did not become ready");
                return NOT_RUN;
            }
            record.line("three gateways are ready; primary " + group.primary().id + ", sync_replicas 1");
            for (int number = 0; number < 6; number++) {
                int writer = number;
                Gateways.Gateway gateway = all.get(number % all.size());
                writers.add(Threads.start("writer", () -> write(writer, gateway, running, told, record)));
            }
            Threads.sleep(3_000);
            if (told.size() < 50) {
                record.line("only " + told.size() + " writes were acknowledged in calm");
                return NOT_RUN;
            }
            MemberServer primary = group.members.get(0);
            MemberServer leaving = group.members.get(1);
            MemberServer behind = group.members.get(2);
            leaving.draining = true;
            group.report(leaving);
            record.line(leaving.id + " reports draining, and goes on to receive and to count");
            Threads.sleep(1_000);
            if (trouble) {
                behind.deaf = true;
                record.line(behind.id + " receives nothing from now on, with " + behind.lastNumber() + " commits");
                Threads.sleep(2_000);
                long numbers = primary.lastNumber();
                group.crash(primary);
                record.line(primary.id + " crashes, with " + numbers + " commits; " + leaving.id + " has " + leaving.lastNumber() + ", "
                        + behind.id + " has " + behind.lastNumber());
                Threads.sleep(6_000);
            } else {
                Threads.sleep(8_000);
            }
            running.set(false);
            for (Thread writer : writers) {
                writer.join(8_000);
            }
            promotions.calls().forEach(call -> record.line("promotion call: " + call));
            group.promotions().forEach(promotion -> record.line("promoted: " + promotion));
            Set<String> lost = new TreeSet<>(group.lostAtPromotions());
            lost.retainAll(told);
            record.line(told.size() + " writes were answered with success; " + lost.size()
                    + " of them are not in the log of the member that was promoted: " + lost);
            if (trouble && group.promotions().isEmpty()) {
                record.line("no member was promoted; " + leaving.id + " still holds all acknowledged commits");
            }
            return lost.isEmpty() ? HELD : BROKEN;
        } finally {
            running.set(false);
        }
    }

    private static void write(int writer, Gateways.Gateway gateway, AtomicBoolean running, Set<String> told, Recorder record) {
        int number = 0;
        while (running.get()) {
            try (ClientSession session = new ClientSession(gateway, 6_000)) {
                String refused = session.open(Configuration.PRIMARY, "key-parish");
                while (running.get() && refused.isEmpty()) {
                    String id = "w" + writer + "-" + number++;
                    ClientSession.Answer answer = session.query(id, "WRITE item-" + id + " data");
                    if (answer.succeeded()) {
                        told.add(id);
                    }
                    record.line(gateway.settings().node() + " " + id + " WRITE -> " + (answer.succeeded() ? "success" : answer.error()));
                    Threads.sleep(100);
                }
            } catch (IOException ended) {
                record.line(gateway.settings().node() + " writer " + writer + ": " + ended.getMessage());
            }
            Threads.sleep(200);
        }
    }
}
