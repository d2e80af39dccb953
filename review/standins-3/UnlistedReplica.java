import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A commit is acknowledged once one replica has received it. A failure domain with one replica and one daemon is cut off
 * from the platform, and the replica goes on to receive; later the other one receives nothing, and the primary crashes.
 */
final class UnlistedReplica {

    private static final String CUT_OFF_DAEMON = "edge-brandon-depot-1";
    private static final long CUT_MILLIS = 9_500;
    private static final long DEAF_MILLIS = 1_500;
    private static final long DEAF_AFTER_CRASH_MILLIS = 500;
    private static final long PROMOTION_MILLIS = 12_000;

    private UnlistedReplica() {}

    public static void main(String[] arguments) throws IOException {
        Case.run(arguments, (trace, folder, repository, trouble) -> {
            Map<String, String> zones = new LinkedHashMap<>();
            zones.put("edge-yorkton-kiln-1", "yorkton-kiln");
            zones.put(CUT_OFF_DAEMON, "brandon-depot");
            zones.put("edge-edmonton-wh-1", "edmonton-wh");
            Map<String, String> regions =
                    Map.of("yorkton-kiln", "sask-east", "brandon-depot", "manitoba-west", "edmonton-wh", "alberta-north");
            try (Store store = new Store(trace, 20_000, (daemon, text) -> text);
                    Group group = new Group(
                            trace,
                            store,
                            Setup.SERVICE,
                            Setup.members("yorkton-kiln", "brandon-depot", "edmonton-wh"),
                            20,
                            300,
                            1);
                    Fleet fleet = new Fleet(trace, store, group, folder, repository, zones, regions)) {
                Setup.configure(store, 1, 1);
                for (String daemon : zones.keySet()) {
                    fleet.start(daemon);
                }
                fleet.awaitReady(zones.keySet());
                Thread.sleep(2_000);
                return play(trace, store, group, fleet, trouble);
            }
        });
    }

    private static boolean play(Trace trace, Store store, Group group, Fleet fleet, boolean trouble) throws Exception {
        String first = Setup.MEMBERS.get(0);
        String unlisted = Setup.MEMBERS.get(1);
        String deaf = Setup.MEMBERS.get(2);
        String lastAcknowledged = write(fleet, 0);
        if (trouble) {
            group.offStore(unlisted, true);
            store.partition(CUT_OFF_DAEMON, true);
            trace.line("network", "brandon-depot is cut off from the platform");
        }
        long cutUntil = trace.millis() + CUT_MILLIS;
        int number = 1;
        while (trace.millis() < cutUntil) {
            lastAcknowledged = keep(write(fleet, number++), lastAcknowledged);
            Thread.sleep(500);
        }
        if (trouble) {
            group.deaf(deaf, true);
        }
        long deafUntil = trace.millis() + DEAF_MILLIS;
        while (trace.millis() < deafUntil) {
            lastAcknowledged = keep(write(fleet, number++), lastAcknowledged);
            Thread.sleep(300);
        }
        trace.line("case", "the last acknowledged write is " + lastAcknowledged);
        group.crash(first);
        Thread.sleep(DEAF_AFTER_CRASH_MILLIS);
        if (trouble) {
            group.deaf(deaf, false);
        }
        long until = trace.millis() + PROMOTION_MILLIS;
        String promoted = "";
        while (promoted.isEmpty() && trace.millis() < until) {
            Thread.sleep(50);
            promoted = group.primary();
        }
        if (promoted.isEmpty()) {
            trace.line("case", "no member was promoted");
            return true;
        }
        boolean held = group.holds(promoted, lastAcknowledged);
        trace.line("case", promoted + " was promoted; its log "
                + (held ? "contains " : "LACKS the acknowledged write ") + lastAcknowledged);
        if (trouble) {
            group.offStore(unlisted, false);
            store.partition(CUT_OFF_DAEMON, false);
            trace.line("network", "brandon-depot reaches the platform again");
        }
        Thread.sleep(1_500);
        try (Client client = fleet.connect("reader", "edge-edmonton-wh-1", Setup.PRIMARY, Fleet.KEY)) {
            client.run("READ order");
        }
        return held;
    }

    private static String keep(String id, String before) {
        return id.isEmpty() ? before : id;
    }

    /** Writes and returns the id of the statement, or an empty text if it was not acknowledged. */
    private static String write(Fleet fleet, int number) throws IOException {
        try (Client client = fleet.connect("writer", "edge-yorkton-kiln-1", Setup.PRIMARY, Fleet.KEY)) {
            return client.run("WRITE order " + number).succeeded() ? client.lastId() : "";
        }
    }
}
