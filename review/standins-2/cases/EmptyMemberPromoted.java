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
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Kills all gateways at the same moment while the primary, which was promoted before, starts again under its id with
 * nothing of before. Compares the commits that clients were told of with the log of the member that is promoted then.
 */
public final class EmptyMemberPromoted {
    private static final int HELD = 0;
    private static final int BROKEN = 1;
    private static final int NOT_RUN = 2;

    private EmptyMemberPromoted() {}

    public static void main(String[] arguments) throws Exception {
        Path root = Path.of(arguments[0]);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("review-7-");
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
        List<Thread> writers = new ArrayList<>();
        try (StoreServer store = new StoreServer();
                ReplicaGroup group =
                        new ReplicaGroup(Configuration.SERVICE, store, List.copyOf(zones.keySet()), 3, 24, 1, 300, 2);
                PromotionServer promotions = new PromotionServer(Map.of(Configuration.SERVICE, group));
                Gateways gateways = new Gateways(root, folder)) {
            store.put("op/config", Configuration.text(7, 1));
            List<Gateways.Gateway> all = new ArrayList<>();
            for (String zone : zones.keySet()) {
                all.add(gateways.start(new Gateways.Settings(
                        "edge-" + zone + "-1", zone, "127.0.7." + (all.size() + 1), zones, store.address(), promotions.address())));
            }
            if (!Gateways.awaitReady(all, 25_000)) {
                record.line("the gateways did not become ready");
                return NOT_RUN;
            }
            MemberServer first = group.primary();
            record.line("three gateways are ready; primary " + first.id + ", sync_replicas 1");
            for (int number = 0; number < 6; number++) {
                int writer = number;
                Gateways.Gateway gateway = all.get(number % all.size());
                writers.add(Threads.start("writer", () -> write(writer, gateway, running, told, record)));
            }
            Threads.sleep(2_000);
            store.put("op/evacuate/" + first.zone, "{}");
            record.line("planned work: the domain of " + first.id + " is taken out");
            Threads.sleep(5_000);
            store.remove("op/evacuate/" + first.zone);
            MemberServer second = group.primary();
            if (second == null || second == first || told.size() < 50) {
                record.line("the planned switchover did not take place");
                return NOT_RUN;
            }
            record.line("the domain is back; primary " + second.id);
            // The gateways are given more time than a promotion that isn't complete is taken into account.
            Threads.sleep(14_000);
            if (trouble) {
                group.members.forEach(member -> record.line(member.id + " has " + member.lastNumber() + " commits"));
                all.forEach(gateway -> gateway.process().destroyForcibly());
                group.startAnewEmpty(second);
                record.line("all gateways are killed; " + second.id + " starts again under its id with nothing of before");
                Threads.sleep(1_000);
                List<Gateways.Gateway> again = new ArrayList<>();
                for (Gateways.Gateway gateway : all) {
                    again.add(gateways.startAgain(gateway));
                }
                record.line("gateways are started again, ready: " + Gateways.awaitReady(again, 15_000));
                Threads.sleep(8_000);
            } else {
                Threads.sleep(6_000);
            }
            running.set(false);
            for (Thread writer : writers) {
                writer.join(8_000);
            }
            promotions.calls().forEach(call -> record.line("promotion call: " + call));
            group.promotions().forEach(promotion -> record.line("promoted: " + promotion));
            group.members.forEach(member -> record.line(member.id + " has " + member.lastNumber() + " commits"));
            Set<String> lost = new TreeSet<>(group.lostAtPromotions());
            lost.retainAll(told);
            record.line(told.size() + " writes were answered with success; " + lost.size()
                    + " of them were not in the log of the member that was promoted");
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
