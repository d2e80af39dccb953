import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A member rejects part of its requests although it is healthy. Two clients of one tenant, whose session values differ,
 * write in turn.
 */
final class FailingSet {

    private static final double REJECTED_SHARE = 0.4;
    private static final int ROUNDS = 40;
    private static final String VALUE = "area";

    private FailingSet() {}

    public static void main(String[] arguments) throws IOException {
        Case.run(arguments, (trace, folder, repository, trouble) -> {
            Map<String, String> zones = new LinkedHashMap<>();
            zones.put("edge-yorkton-kiln-1", "yorkton-kiln");
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
                Setup.configure(store, 1, 0);
                for (String daemon : zones.keySet()) {
                    fleet.start(daemon);
                }
                fleet.awaitReady(zones.keySet());
                Thread.sleep(2_000);
                return play(trace, group, fleet, trouble);
            }
        });
    }

    private static boolean play(Trace trace, Group group, Fleet fleet, boolean trouble) throws Exception {
        AtomicBoolean broken = new AtomicBoolean();
        // The item that a client writes begins with its session value.
        group.observer((member, id, statement, values) -> {
            String[] words = statement.split(" ");
            String expected = words.length > 1 ? words[1].split("-")[0] : "";
            if (words[0].equals("WRITE") && !expected.equals(values.get(VALUE))) {
                trace.line("case", member + " runs " + id + " " + statement + " with the session values " + values
                        + ", although " + VALUE + "=" + expected + " was acknowledged to its client");
                broken.set(true);
            }
        });
        if (trouble) {
            Random random = new Random(58);
            String grey = group.primary();
            trace.line(grey, "rejects " + REJECTED_SHARE + " of its requests from now on");
            group.faults((member, statement) -> {
                synchronized (random) {
                    return member.equals(grey) && random.nextDouble() < REJECTED_SHARE ? "BUSY" : null;
                }
            });
        }
        Client[] clients = new Client[2];
        String[] areas = {"north", "south"};
        try {
            for (int round = 0; round < ROUNDS; round++) {
                int number = round % 2;
                if (clients[number] == null) {
                    clients[number] = open(fleet, areas[number]);
                }
                Client.Answer answer = clients[number].run("WRITE " + areas[number] + "-order " + round);
                if (answer.error().startsWith("NONE")) {
                    clients[number].close();
                    clients[number] = null;
                }
                Thread.sleep(100);
            }
        } finally {
            for (Client client : clients) {
                if (client != null) {
                    client.close();
                }
            }
        }
        return !broken.get();
    }

    private static Client open(Fleet fleet, String area) throws IOException {
        Client client = fleet.connect("client-" + area, "edge-yorkton-kiln-1", Setup.PRIMARY, Fleet.KEY);
        Client.Answer answer = client.run("SET " + VALUE + " " + area);
        if (!answer.succeeded()) {
            throw new IOException("SET failed: " + answer);
        }
        return client;
    }
}
