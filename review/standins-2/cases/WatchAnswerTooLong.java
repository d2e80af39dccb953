import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Cuts one gateway off from the store while configurations come in quick succession, withdraws a key meanwhile, and uses
 * the key at that gateway after it is in touch again.
 */
public final class WatchAnswerTooLong {
    private static final int HELD = 0;
    private static final int BROKEN = 1;
    private static final int NOT_RUN = 2;
    private static final int FURTHER_ROUTES = 2_100;
    private static final int CHANGES = 12;
    private static final long GAP_MILLIS = 330;
    private static final long CUT_MILLIS = 3_000;
    private static final long CONTACT_MILLIS = 5_000;
    private static final long CONFIG_APPLY_MILLIS = 4_000;
    private static final long MARGIN_MILLIS = 200;
    private static final long END_MILLIS = 30_000;

    private WatchAnswerTooLong() {}

    public static void main(String[] arguments) throws Exception {
        Path root = Path.of(arguments[0]);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("review-10-");
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
        try (StoreServer store = new StoreServer();
                LinkProxy link = new LinkProxy(store.address());
                ReplicaGroup group =
                        new ReplicaGroup(Configuration.SERVICE, store, List.copyOf(zones.keySet()), 3, 24, 0, 300, 2);
                PromotionServer promotions = new PromotionServer(Map.of(Configuration.SERVICE, group));
                Gateways gateways = new Gateways(root, folder)) {
            List<String> both = List.of("parish", "coop");
            int version = 7;
            store.put("op/config", Configuration.text(version, 0, 0, both));
            List<Gateways.Gateway> all = new ArrayList<>();
            for (String zone : zones.keySet()) {
                String storeAddress = all.isEmpty() ? link.address() : store.address();
                all.add(gateways.start(new Gateways.Settings(
                        "edge-" + zone + "-1", zone, "127.0.10." + (all.size() + 1), zones, storeAddress, promotions.address())));
            }
            if (!Gateways.awaitReady(all, 25_000)) {
                record.line("the gateways did not become ready");
                return NOT_RUN;
            }
            Gateways.Gateway gateway = all.get(0);
            if (!use(gateway, "calm", record).isEmpty()) {
                return NOT_RUN;
            }
            String grown = Configuration.text(++version, 0, FURTHER_ROUTES, both);
            store.put("op/config", grown);
            record.line("version " + version + " has " + FURTHER_ROUTES + " further routes, " + grown.length() + " bytes");
            Threads.sleep(3_000);
            long cutMillis = record.millis();
            if (trouble) {
                link.cut();
                record.line("the link of " + gateway.settings().node() + " to the store is cut");
            }
            boolean cut = trouble;
            for (int change = 0; change < CHANGES; change++) {
                store.put("op/config", Configuration.text(++version, 0, FURTHER_ROUTES, both));
                Threads.sleep(GAP_MILLIS);
                if (cut && record.millis() - cutMillis >= CUT_MILLIS) {
                    cut = false;
                    link.heal();
                    record.line("the link of " + gateway.settings().node() + " to the store works again after version " + version);
                }
            }
            long healedMillis = cutMillis + CUT_MILLIS + GAP_MILLIS;
            store.put("op/config", Configuration.text(++version, 0, FURTHER_ROUTES, List.of("parish")));
            long withdrawnMillis = record.millis();
            record.line("version " + version + " withdraws the key of coop");
            long inForceMillis =
                    Math.max(healedMillis + CONTACT_MILLIS, withdrawnMillis + CONFIG_APPLY_MILLIS) + MARGIN_MILLIS;
            int ran = 0;
            int refused = 0;
            long lastRunMillis = 0;
            for (int number = 0; record.millis() < END_MILLIS; number++) {
                long sentMillis = record.millis();
                String result = use(gateway, "k" + number, record);
                if (sentMillis > inForceMillis) {
                    if (result.isEmpty()) {
                        ran++;
                        lastRunMillis = sentMillis;
                    } else {
                        refused++;
                    }
                }
                Threads.sleep(250);
            }
            record.line("of the requests with the withdrawn key that were sent to " + gateway.settings().node() + " after " + inForceMillis
                    + " ms, " + ran + " ran (the last was sent at " + lastRunMillis + " ms) and " + refused + " were refused");
            return ran > 0 ? BROKEN : refused > 0 ? HELD : NOT_RUN;
        }
    }

    /** Uses the key of coop for one read; returns an empty text if it ran, else the error. */
    private static String use(Gateways.Gateway gateway, String id, Recorder record) {
        String result;
        try (ClientSession session = new ClientSession(gateway, 6_000)) {
            String refused = session.open(Configuration.BOUNDED, "key-coop");
            result = refused.isEmpty() ? session.query(id, "READ 1a4").error() : refused;
        } catch (IOException ended) {
            result = ended.getMessage();
        }
        record.line(gateway.settings().node() + " " + id + " READ with the key of coop -> " + (result.isEmpty() ? "success" : result));
        return result;
    }
}
