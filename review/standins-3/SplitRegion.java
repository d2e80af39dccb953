import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * The region with the primary is cut off from the other regions and from the platform. On both sides a client goes on to
 * write and to read on a route of type primary.
 */
final class SplitRegion {

    private static final long ADDED_AFTER_MILLIS = 1_000;
    private static final long RESTARTED_AFTER_MILLIS = 8_000;
    private static final long AFTER_MILLIS = 6_000;
    private static final long STEP_MILLIS = 400;
    private static final String SASK = "sask-east";

    private static final Map<String, String> REGIONS = Map.of(
            "yorkton-kiln", SASK,
            "melville-annex", SASK,
            "brandon-depot", "manitoba-west",
            "edmonton-wh", "alberta-north");

    private final List<String> first;
    private final List<String> added;
    private final List<String> restarted;
    private final long cutMillis;
    private final Map<String, String> zones = new LinkedHashMap<>();

    /**
     * Prepares the steps.
     *
     * @param first the daemons that run from the start, as edge-ZONE-NUMBER
     * @param added the daemons that are started 1 s after the beginning of the cut
     * @param restarted the daemons that are stopped and started again 8 s after the beginning of the cut
     */
    SplitRegion(List<String> first, List<String> added, List<String> restarted, long cutMillis) {
        this.first = first;
        this.added = added;
        this.restarted = restarted;
        this.cutMillis = cutMillis;
        first.forEach(daemon -> zones.put(daemon, zone(daemon)));
        added.forEach(daemon -> zones.put(daemon, zone(daemon)));
    }

    private static String zone(String daemon) {
        return daemon.substring("edge-".length(), daemon.lastIndexOf('-'));
    }

    private static boolean isInside(String zone) {
        return SASK.equals(REGIONS.get(zone));
    }

    void run(String[] arguments) throws IOException {
        Case.run(arguments, (trace, folder, repository, trouble) -> {
            Map<String, Relay> relays = new LinkedHashMap<>();
            Map<String, Boolean> sides = new LinkedHashMap<>();
            try (Store store = new Store(trace, 20_000, (daemon, text) -> shown(daemon, text, relays, sides));
                    Group group = new Group(
                            trace,
                            store,
                            Setup.SERVICE,
                            Setup.members("yorkton-kiln", "brandon-depot", "edmonton-wh"),
                            20,
                            300,
                            0);
                    Fleet fleet = new Fleet(trace, store, group, folder, repository, zones, REGIONS)) {
                for (String daemon : zones.keySet()) {
                    addRelay(relays, sides, fleet.peerAddress(daemon), isInside(zones.get(daemon)));
                }
                for (String member : Setup.MEMBERS) {
                    addRelay(relays, sides, group.member(member).address(), isInside(group.member(member).zone));
                }
                Setup.configure(store, 1, 0);
                for (String daemon : first) {
                    fleet.start(daemon);
                }
                fleet.awaitReady(first);
                Thread.sleep(3_000);
                return play(trace, store, group, fleet, relays, trouble);
            } finally {
                relays.values().forEach(Relay::close);
            }
        });
    }

    private static void addRelay(Map<String, Relay> relays, Map<String, Boolean> sides, String address, boolean inside)
            throws IOException {
        relays.put(address, new Relay(address));
        sides.put(address, inside);
    }

    /** Daemons reach what is on the other side of the later cut through relays. */
    private String shown(
            String daemon, String text, Map<String, Relay> relays, Map<String, Boolean> sides) {
        boolean inside = isInside(zones.get(daemon));
        String shown = text;
        for (Map.Entry<String, Relay> relay : relays.entrySet()) {
            if (sides.get(relay.getKey()) != inside) {
                shown = shown.replace("\"" + relay.getKey() + "\"", "\"" + relay.getValue().address() + "\"");
            }
        }
        return shown;
    }

    private boolean play(
            Trace trace, Store store, Group group, Fleet fleet, Map<String, Relay> relays, boolean trouble)
            throws Exception {
        List<String[]> acknowledged = new ArrayList<>();
        AtomicBoolean broken = new AtomicBoolean();
        AtomicBoolean ended = new AtomicBoolean();
        List<String> insideWrites = new ArrayList<>();
        try (Client before = fleet.connect("outside", "edge-brandon-depot-1", Setup.PRIMARY, Fleet.KEY)) {
            if (!before.run("WRITE stock 0").succeeded()) {
                throw new IOException("the first write failed");
            }
            acknowledged.add(new String[] {"0", Long.toString(trace.millis())});
        }
        if (trouble) {
            cut(trace, store, group, relays, true);
        }
        Thread outside = new Thread(() -> writeOutside(trace, fleet, acknowledged, ended));
        Thread inside = new Thread(() -> readInside(trace, fleet, acknowledged, insideWrites, broken, ended));
        outside.start();
        inside.start();
        long begunMillis = trace.millis();
        Thread.sleep(ADDED_AFTER_MILLIS);
        for (String daemon : added) {
            fleet.start(daemon);
        }
        Thread.sleep(RESTARTED_AFTER_MILLIS - ADDED_AFTER_MILLIS);
        for (String daemon : restarted) {
            fleet.restart(daemon);
        }
        Thread.sleep(cutMillis - (trace.millis() - begunMillis));
        ended.set(true);
        outside.join();
        inside.join();
        if (trouble) {
            cut(trace, store, group, relays, false);
            Thread.sleep(AFTER_MILLIS);
            for (String id : insideWrites) {
                if (!group.holds(group.primary(), id)) {
                    trace.line("case", "acknowledged inside, and not in the log of the primary now: " + id);
                }
            }
        }
        return !broken.get();
    }

    private void cut(Trace trace, Store store, Group group, Map<String, Relay> relays, boolean value) {
        trace.line("network", SASK + (value ? " is cut off from the others and the platform" : " is connected again"));
        relays.values().forEach(relay -> relay.cut(value));
        zones.forEach((daemon, zone) -> store.partition(daemon, value && isInside(zone)));
        for (String member : Setup.MEMBERS) {
            if (isInside(group.member(member).zone)) {
                group.side(member, value ? SASK : "");
                group.offStore(member, value);
            }
        }
    }

    private static void writeOutside(
            Trace trace, Fleet fleet, List<String[]> acknowledged, AtomicBoolean ended) {
        for (int number = 1; !ended.get(); number++) {
            try (Client client = fleet.connect("outside", "edge-brandon-depot-1", Setup.PRIMARY, Fleet.KEY)) {
                Client.Answer answer = client.run("WRITE stock " + number);
                if (answer.succeeded()) {
                    synchronized (acknowledged) {
                        acknowledged.add(new String[] {Integer.toString(number), Long.toString(trace.millis())});
                    }
                }
                Thread.sleep(STEP_MILLIS);
            } catch (IOException exception) {
                trace.line("outside", exception.toString());
            } catch (InterruptedException exception) {
                return;
            }
        }
    }

    /** Reads what the other client writes; each read has to see what was acknowledged before it was sent. */
    private static void readInside(
            Trace trace,
            Fleet fleet,
            List<String[]> acknowledged,
            List<String> insideWrites,
            AtomicBoolean broken,
            AtomicBoolean ended) {
        int number = 0;
        while (!ended.get()) {
            try (Client client = fleet.connect("inside", "edge-yorkton-kiln-1", Setup.PRIMARY, Fleet.KEY)) {
                String expected;
                synchronized (acknowledged) {
                    expected = acknowledged.get(acknowledged.size() - 1)[0];
                }
                Client.Answer answer = client.run("READ stock");
                if (answer.succeeded() && Integer.parseInt(answer.rows()) < Integer.parseInt(expected)) {
                    trace.line("inside", "STALE: the read lacks the write of " + expected
                            + ", which was acknowledged before it was sent");
                    broken.set(true);
                }
                if (client.run("WRITE local " + ++number).succeeded()) {
                    insideWrites.add(client.lastId());
                }
                Thread.sleep(STEP_MILLIS);
            } catch (IOException exception) {
                trace.line("inside", exception.toString());
            } catch (InterruptedException exception) {
                return;
            }
        }
    }
}
