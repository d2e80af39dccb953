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
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Makes a primary silent until another member has taken over, and crashes that one when the former primary is back and
 * cannot have learned of it. Looks for writes that the former primary committed in its old term.
 */
public final class FormerPrimaryActsAgain {
    private static final int HELD = 0;
    private static final int BROKEN = 1;
    private static final int NOT_RUN = 2;
    private static final long PROMOTE_MILLIS = 300;

    private FormerPrimaryActsAgain() {}

    public static void main(String[] arguments) throws Exception {
        Path root = Path.of(arguments[0]);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("review-8-");
        int code;
        try (Recorder record = new Recorder(Path.of(arguments[1]))) {
            code = play(root, folder, record, trouble);
            record.line("exit " + code);
        }
        System.exit(code);
    }

    private static int play(Path root, Path folder, Recorder record, boolean trouble) throws Exception {
        Map<String, String> zones = new LinkedHashMap<>();
        zones.put("zc", "rc");
        zones.put("zb", "rb");
        zones.put("za", "ra");
        AtomicBoolean running = new AtomicBoolean(true);
        Set<String> told = ConcurrentHashMap.newKeySet();
        List<Thread> writers = new ArrayList<>();
        try (StoreServer store = new StoreServer();
                ReplicaGroup group = new ReplicaGroup(
                        Configuration.SERVICE, store, List.copyOf(zones.keySet()), 3, 24, 0, PROMOTE_MILLIS, 2);
                PromotionServer promotions = new PromotionServer(Map.of(Configuration.SERVICE, group));
                Gateways gateways = new Gateways(root, folder)) {
            store.put("op/config", Configuration.text(7, 0));
            List<Gateways.Gateway> all = new CopyOnWriteArrayList<>();
            for (String zone : zones.keySet()) {
                all.add(gateways.start(new Gateways.Settings(
                        "edge-" + zone + "-1", zone, "127.0.8." + (all.size() + 1), zones, store.address(), promotions.address())));
            }
            if (!Gateways.awaitReady(all, 25_000)) {
                record.line("the gateways did not become ready");
                return NOT_RUN;
            }
            MemberServer former = group.members.get(0);
            MemberServer second = group.members.get(1);
            MemberServer behind = group.members.get(2);
            record.line("three gateways are ready; primary " + former.id);
            for (int number = 0; number < 6; number++) {
                int writer = number;
                int gateway = number % all.size();
                writers.add(Threads.start("writer", () -> write(writer, all, gateway, running, told, record)));
            }
            Threads.start("observer", () -> observe(group, promotions, running, record));
            Threads.sleep(3_000);
            if (trouble) {
                behind.deaf = true;
                record.line(behind.id + " receives nothing");
                Threads.sleep(300);
                group.goDark(former);
                record.line(former.id + " is silent, with " + former.lastNumber() + " commits; " + behind.id + " has " + behind.lastNumber());
                long darkMillis = record.millis();
                while (group.primary() != second && record.millis() - darkMillis < 5_500) {
                    Threads.sleep(20);
                }
                if (group.primary() != second) {
                    record.line(second.id + " was not promoted in time");
                    return NOT_RUN;
                }
                record.line(second.id + " has taken over");
                Threads.sleep(700);
                group.crash(second);
                record.line(second.id + " crashes, with " + second.lastNumber() + " commits");
                group.endDark(former);
                record.line(former.id + " is back after " + (record.millis() - darkMillis) + " ms; it takes itself for the primary of term "
                        + former.term);
                all.get(0).process().destroyForcibly().waitFor();
                record.line(all.get(0).settings().node() + " is killed");
                Threads.sleep(300);
                all.set(0, gateways.startAgain(all.get(0)));
                record.line(all.get(0).settings().node() + " starts again");
                Threads.sleep(500);
                behind.deaf = false;
                Threads.sleep(6_000);
            } else {
                Threads.sleep(9_000);
            }
            running.set(false);
            for (Thread writer : writers) {
                writer.join(8_000);
            }
            Set<String> acknowledged = new TreeSet<>(group.commitsAfterTakeOver());
            record.line("commits at the former primary in its old term: " + acknowledged);
            acknowledged.retainAll(told);
            record.line(told.size() + " writes were answered with success; " + acknowledged.size()
                    + " of them were committed at the former primary in its old term after another member had taken over");
            return acknowledged.isEmpty() ? HELD : BROKEN;
        } finally {
            running.set(false);
        }
    }

    private static void observe(ReplicaGroup group, PromotionServer promotions, AtomicBoolean running, Recorder record) {
        int calls = 0;
        int takeOvers = 0;
        while (running.get()) {
            for (; calls < promotions.calls().size(); calls++) {
                record.line("promotion call: " + promotions.calls().get(calls));
            }
            for (; takeOvers < group.promotions().size(); takeOvers++) {
                record.line("promoted: " + group.promotions().get(takeOvers));
            }
            Threads.sleep(5);
        }
    }

    private static void write(int writer, List<Gateways.Gateway> all, int index, AtomicBoolean running, Set<String> told, Recorder record) {
        int number = 0;
        while (running.get()) {
            Gateways.Gateway gateway = all.get(index);
            try (ClientSession session = new ClientSession(gateway, 6_000)) {
                String refused = session.open(Configuration.PRIMARY, "key-parish");
                while (running.get() && refused.isEmpty()) {
                    String id = "w" + writer + "-" + number++;
                    ClientSession.Answer answer = session.query(id, "WRITE item-" + id + " data");
                    if (answer.succeeded()) {
                        told.add(id);
                    }
                    record.line(gateway.settings().node() + " " + id + " WRITE -> "
                            + (answer.succeeded() ? "success, " + answer.signature() : answer.error()));
                    Threads.sleep(100);
                }
            } catch (IOException ended) {
                record.line(gateway.settings().node() + " writer " + writer + ": " + ended.getMessage());
            }
            Threads.sleep(200);
        }
    }
}
