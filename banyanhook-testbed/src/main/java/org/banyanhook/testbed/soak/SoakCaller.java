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
 * A client that opens sessions at randomly selected gateways, writes increasing values to its own item and reads the
 * items of all callers. Each session runs up to {@value #STATEMENTS_PER_SESSION} steps on one connection and ends early
 * when the connection is closed. Each caller runs on its own thread.
 */
final class SoakCaller implements Runnable {

    /** Error codes that guarantee that the statement or transaction had no effect. */
    private static final Set<String> NO_EFFECT_ERROR_CODES =
            Set.of("BUSY", "ABORTED", "LAGGING", "READONLY", "MOVED", "MAXCONN", "NOAUTH", "NODB");

    private static final int STATEMENTS_PER_SESSION = 60;
    private static final int MEAN_PAUSE_MILLIS = 15;
    private static final int RECONNECT_DELAY_MILLIS = 100;

    private final int callerIndex;
    private final int callerCount;
    private final GatewayFleet fleet;
    private final SoakHistory history;
    private final Random random;
    private final BooleanSupplier stopRequested;
    private long lastValue;
    private int sessionCount;

    SoakCaller(
            int callerIndex,
            int callerCount,
            GatewayFleet fleet,
            SoakHistory history,
            long seed,
            BooleanSupplier stopRequested) {
        this.callerIndex = callerIndex;
        this.callerCount = callerCount;
        this.fleet = fleet;
        this.history = history;
        this.random = new Random(seed * 31 + callerIndex);
        this.stopRequested = stopRequested;
    }

    @Override
    public void run() {
        while (!stopRequested.getAsBoolean()) {
            int gateway = random.nextInt(fleet.gateways().size());
            Freshness freshness = Freshness.values()[random.nextInt(Freshness.values().length)];
            try (LineCaller session =
                    new LineCaller(fleet.gateways().get(gateway).clientPort())) {
                String key = GatewayFleet.API_KEYS.get(callerIndex % GatewayFleet.API_KEYS.size());
                String database = freshness.name().toLowerCase(Locale.ROOT);
                sessionCount++;
                if (session.open(database, key).get(0).startsWith("READY")) {
                    session.run("SET who " + callerIndex);
                    runStatements(session, gateway, freshness);
                }
            } catch (IOException exception) {
                // Broken connections are an expected effect of the faults; continue with a new session.
                pause(RECONNECT_DELAY_MILLIS);
            }
        }
    }

    private void runStatements(LineCaller session, int gateway, Freshness freshness) throws IOException {
        for (int statementCount = 0;
                statementCount < STATEMENTS_PER_SESSION && !stopRequested.getAsBoolean();
                statementCount++) {
            int choice = random.nextInt(10);
            boolean sessionUsable = choice < 3
                    ? runWrite(session)
                    : choice < 4 ? runTransaction(session) : runRead(session, gateway, freshness);
            if (!sessionUsable) {
                return;
            }
            pause(random.nextInt(2 * MEAN_PAUSE_MILLIS));
        }
    }

    private boolean runWrite(LineCaller session) {
        long value = ++lastValue;
        List<String> answer = runStatement(session, "WRITE " + itemName(callerIndex) + " " + value);
        recordWrite(value, toOutcome(answer));
        return isSessionReady(answer);
    }

    private boolean runTransaction(LineCaller session) {
        long value = ++lastValue;
        List<String> beginAnswer = runStatement(session, "BEGIN");
        List<String> writeAnswer = runStatement(session, "WRITE " + itemName(callerIndex) + " " + value);
        if (!succeeded(beginAnswer) || !succeeded(writeAnswer)) {
            // No COMMIT was sent, so the write must not be in the log.
            recordWrite(value, Outcome.NOT_KEPT);
            return isSessionReady(writeAnswer) && isSessionReady(runStatement(session, "ROLLBACK"));
        }
        boolean shouldCommit = random.nextInt(4) > 0;
        List<String> endAnswer = runStatement(session, shouldCommit ? "COMMIT" : "ROLLBACK");
        recordWrite(value, shouldCommit ? toOutcome(endAnswer) : Outcome.NOT_KEPT);
        return isSessionReady(endAnswer);
    }

    private boolean runRead(LineCaller session, int gateway, Freshness freshness) {
        int readIndex = random.nextInt(callerCount);
        long sentNanos = System.nanoTime();
        List<String> answer = runStatement(session, "READ " + itemName(readIndex));
        if (succeeded(answer) && answer.get(0).startsWith("DATAROW ")) {
            String[] row = answer.get(0).substring("DATAROW ".length()).split("\\|", -1);
            long value = row[0].equals("-") ? 0 : Long.parseLong(row[0]);
            history.add(new Read(itemName(readIndex), value, sentNanos, freshness, sessionName(), gateway));
            if (!row[1].equals("who " + callerIndex + ";")) {
                history.addViolation("values mixed: session of caller " + callerIndex + " ran with " + row[1]);
            }
        }
        return isSessionReady(answer);
    }

    private void recordWrite(long value, Outcome outcome) {
        history.add(new Write(itemName(callerIndex), value, System.nanoTime(), outcome, sessionName()));
    }

    private String sessionName() {
        return callerIndex + "-" + sessionCount;
    }

    private static Outcome toOutcome(List<String> answer) {
        if (succeeded(answer)) {
            return Outcome.ACKNOWLEDGED;
        }
        String[] words = answer.isEmpty() ? new String[0] : answer.get(0).split(" ");
        boolean hasNoEffect = words.length > 1 && words[0].equals("ERROR") && NO_EFFECT_ERROR_CODES.contains(words[1]);
        return hasNoEffect ? Outcome.NOT_KEPT : Outcome.UNKNOWN;
    }

    private static boolean succeeded(List<String> answer) {
        return answer.stream().anyMatch(line -> line.startsWith("COMPLETE ")) && isSessionReady(answer);
    }

    private static boolean isSessionReady(List<String> answer) {
        return !answer.isEmpty() && answer.get(answer.size() - 1).startsWith("READY");
    }

    private static List<String> runStatement(LineCaller session, String statement) {
        try {
            return session.run(statement);
        } catch (IOException exception) {
            return List.of("CLOSED " + exception.getMessage());
        }
    }

    private static String itemName(int callerIndex) {
        return "item-" + callerIndex;
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
