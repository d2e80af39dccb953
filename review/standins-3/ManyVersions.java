import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A daemon is partitioned from the store while configurations come in quick succession, the last of which takes a key
 * away. A client with this key stays connected to the daemon.
 */
final class ManyVersions {

    private static final String WITHDRAWN = "k7d2x9q4w1";
    private static final String DAEMON = "edge-yorkton-kiln-1";
    private static final int FURTHER_ROUTES = 5 * 350;
    private static final long CUT_MILLIS = 3_900;
    private static final long STORM_MILLIS = 3_300;
    private static final long GAP_MILLIS = 330;
    private static final long CONFIG_APPLY_MILLIS = 4_000;
    private static final long CONTACT_MILLIS = 5_000;
    private static final long OBSERVED_MILLIS = 26_000;

    private ManyVersions() {}

    public static void main(String[] arguments) throws IOException {
        Case.run(arguments, (trace, folder, repository, trouble) -> {
            Map<String, String> zones = new LinkedHashMap<>();
            zones.put(DAEMON, "yorkton-kiln");
            zones.put("edge-brandon-depot-1", "brandon-depot");
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
                            0);
                    Fleet fleet = new Fleet(trace, store, group, folder, repository, zones, regions)) {
                Setup.configure(store, 1, 0, FURTHER_ROUTES, List.of(Fleet.KEY, WITHDRAWN));
                for (String daemon : zones.keySet()) {
                    fleet.start(daemon);
                }
                fleet.awaitReady(zones.keySet());
                Thread.sleep(3_000);
                return play(trace, store, fleet, trouble);
            }
        });
    }

    private static boolean play(Trace trace, Store store, Fleet fleet, boolean trouble) throws Exception {
        boolean held = true;
        try (Client client = fleet.connect("withdrawn", DAEMON, Setup.PRIMARY, WITHDRAWN)) {
            if (!client.run("READ stock").succeeded()) {
                throw new IOException("the key does not work before it is taken away");
            }
            long cutAt = trace.millis();
            if (trouble) {
                store.partition(DAEMON, true);
                trace.line("network", DAEMON + " is partitioned from the store");
            }
            Thread.sleep(100);
            int version = 2;
            long stormEnd = trace.millis() + STORM_MILLIS;
            while (trace.millis() < stormEnd) {
                acknowledge(trace, version, Setup.configure(
                        store, version, 0, FURTHER_ROUTES, List.of(Fleet.KEY, WITHDRAWN)));
                version++;
                Thread.sleep(GAP_MILLIS);
            }
            acknowledge(trace, version, Setup.configure(store, version, 0, FURTHER_ROUTES, List.of(Fleet.KEY)));
            long acknowledgedAt = trace.millis();
            trace.line("operator", "version " + version + " has taken the key away");
            Thread.sleep(Math.max(0, cutAt + CUT_MILLIS - trace.millis()));
            if (trouble) {
                store.partition(DAEMON, false);
                trace.line("network", DAEMON + " reaches the store again");
            }
            long judgedFrom =
                    Math.max(acknowledgedAt + CONFIG_APPLY_MILLIS, cutAt + CUT_MILLIS + CONTACT_MILLIS);
            boolean ended = false;
            while (trace.millis() < cutAt + OBSERVED_MILLIS && !ended) {
                Client.Answer answer = client.run("READ stock");
                ended = !answer.succeeded() && (answer.error().startsWith("NOAUTH") || answer.error().startsWith("NONE"));
                if (answer.succeeded() && client.lastSentMillis() > judgedFrom) {
                    trace.line("case", "a statement ran with a key that was taken away "
                            + (client.lastSentMillis() - acknowledgedAt) + " ms before");
                    held = false;
                }
                Thread.sleep(400);
            }
        }
        return held;
    }

    private static void acknowledge(Trace trace, int version, long revision) {
        trace.line("operator", "version " + version + " is acknowledged with revision " + revision);
    }
}
