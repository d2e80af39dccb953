package org.banyanhook.testbed.soak;

import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.banyanhook.testbed.line.GatewayFleet;
import org.banyanhook.testbed.line.LineCaller;
import org.banyanhook.testbed.soak.SoakHistory.Freshness;
import org.banyanhook.testbed.soak.SoakHistory.Outcome;
import org.banyanhook.testbed.soak.SoakHistory.Read;
import org.banyanhook.testbed.soak.SoakHistory.Write;

/**
 * One caller: it opens sessions at one gateway or another, writes rising numbers to an item of its own and reads items
 * of others. It uses a connection until it ends. Runs on a thread of its own.
 */
final class SoakCaller implements Runnable {

    /** Answers that promise that nothing of the statement or transaction is kept. */
    private static final Set<String> PROMISES =
            Set.of("BUSY", "ABORTED", "LAGGING", "READONLY", "MOVED", "MAXCONN", "NOAUTH", "NODB");

    private static final int STATEMENTS_PER_SESSION = 60;
    private static final int PAUSE_MILLIS = 15;
    private static final int RECONNECT_MILLIS = 100;

    private final int number;
    private final int callers;
    private final GatewayFleet fleet;
    private final SoakHistory history;
    private final Random random;
    private final BooleanSupplier over;
    private long lastNumber;
    private int sessions;

    SoakCaller(int number, int callers, GatewayFleet fleet, SoakHistory history, long seed, BooleanSupplier over) {
        this.number = number;
        this.callers = callers;
        this.fleet = fleet;
        this.history = history;
        this.random = new Random(seed * 31 + number);
        this.over = over;
    }

    @Override
    public void run() {
        while (!over.getAsBoolean()) {
            int gateway = random.nextInt(fleet.gateways().size());
            Freshness freshness = Freshness.values()[random.nextInt(Freshness.values().length)];
            try (LineCaller session =
                    new LineCaller(fleet.gateways().get(gateway).clientPort())) {
                String key = GatewayFleet.API_KEYS.get(number % GatewayFleet.API_KEYS.size());
                String database = freshness.name().toLowerCase(Locale.ROOT);
                sessions++;
                if (session.open(database, key).get(0).startsWith("READY")) {
                    session.run("SET who " + number);
                    use(session, gateway, freshness);
                }
            } catch (IOException exception) {
                // A connection that breaks is what the faults are for; the next session follows.
                pause(RECONNECT_MILLIS);
            }
        }
    }

    private void use(LineCaller session, int gateway, Freshness freshness) throws IOException {
        for (int count = 0; count < STATEMENTS_PER_SESSION && !over.getAsBoolean(); count++) {
            int choice = random.nextInt(10);
            boolean goesOn =
                    choice < 3 ? write(session) : choice < 4 ? transaction(session) : read(session, gateway, freshness);
            if (!goesOn) {
                return;
            }
            pause(random.nextInt(2 * PAUSE_MILLIS));
        }
    }

    private boolean write(LineCaller session) {
        long value = ++lastNumber;
        List<String> answer = answered(session, "WRITE " + item(number) + " " + value);
        note(value, outcome(answer));
        return goesOn(answer);
    }

    private boolean transaction(LineCaller session) {
        long value = ++lastNumber;
        List<String> begun = answered(session, "BEGIN");
        List<String> written = answered(session, "WRITE " + item(number) + " " + value);
        if (!succeeded(begun) || !succeeded(written)) {
            // Without a commit that was asked for, nothing may be kept.
            note(value, Outcome.NOT_KEPT);
            return goesOn(written) && goesOn(answered(session, "ROLLBACK"));
        }
        boolean commits = random.nextInt(4) > 0;
        List<String> ended = answered(session, commits ? "COMMIT" : "ROLLBACK");
        note(value, commits ? outcome(ended) : Outcome.NOT_KEPT);
        return goesOn(ended);
    }

    private boolean read(LineCaller session, int gateway, Freshness freshness) {
        int other = random.nextInt(callers);
        long sentNanos = System.nanoTime();
        List<String> answer = answered(session, "READ " + item(other));
        if (succeeded(answer) && answer.get(0).startsWith("DATAROW ")) {
            String[] row = answer.get(0).substring("DATAROW ".length()).split("\\|", -1);
            long value = row[0].equals("-") ? 0 : Long.parseLong(row[0]);
            history.add(new Read(item(other), value, sentNanos, freshness, sessionName(), gateway));
            if (!row[1].equals("who " + number + ";")) {
                history.violation("values mixed: session of caller " + number + " ran with " + row[1]);
            }
        }
        return goesOn(answer);
    }

    private void note(long value, Outcome outcome) {
        history.add(new Write(item(number), value, System.nanoTime(), outcome, sessionName()));
    }

    private String sessionName() {
        return number + "-" + sessions;
    }

    private static Outcome outcome(List<String> answer) {
        if (succeeded(answer)) {
            return Outcome.ACKNOWLEDGED;
        }
        String[] words = answer.isEmpty() ? new String[0] : answer.get(0).split(" ");
        boolean promised = words.length > 1 && words[0].equals("ERROR") && PROMISES.contains(words[1]);
        return promised ? Outcome.NOT_KEPT : Outcome.UNKNOWN;
    }

    private static boolean succeeded(List<String> answer) {
        return answer.stream().anyMatch(line -> line.startsWith("COMPLETE ")) && goesOn(answer);
    }

    private static boolean goesOn(List<String> answer) {
        return !answer.isEmpty() && answer.get(answer.size() - 1).startsWith("READY");
    }

    private static List<String> answered(LineCaller session, String statement) {
        try {
            return session.run(statement);
        } catch (IOException exception) {
            return List.of("CLOSED " + exception.getMessage());
        }
    }

    private static String item(int caller) {
        return "item-" + caller;
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
