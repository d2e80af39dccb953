package org.banyanhook.testbed.soak;

import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.Random;
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

    /**
     * What a caller of a run is given.
     *
     * @param callerIndex its number, from 0
     * @param callerCount the number of callers
     * @param fleet the gateways
     * @param history receives what the caller sees
     * @param seed the seed of the run
     * @param stopRequested returns whether the caller should end
     */
    record Setting(
            int callerIndex,
            int callerCount,
            GatewayFleet fleet,
            SoakHistory history,
            long seed,
            BooleanSupplier stopRequested) {}

    SoakCaller(Setting setting) {
        this.callerIndex = setting.callerIndex();
        this.callerCount = setting.callerCount();
        this.fleet = setting.fleet();
        this.history = setting.history();
        this.random = new Random(setting.seed() * 31 + callerIndex);
        this.stopRequested = setting.stopRequested();
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
                SoakAnswers.pause(RECONNECT_DELAY_MILLIS);
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
            SoakAnswers.pause(random.nextInt(2 * MEAN_PAUSE_MILLIS));
        }
    }

    private boolean runWrite(LineCaller session) {
        long value = ++lastValue;
        List<String> answer = SoakAnswers.run(session, "WRITE " + itemName(callerIndex) + " " + value);
        recordWrite(value, SoakAnswers.toOutcome(answer));
        return SoakAnswers.isSessionReady(answer);
    }

    private boolean runTransaction(LineCaller session) {
        long value = ++lastValue;
        List<String> beginAnswer = SoakAnswers.run(session, "BEGIN");
        List<String> writeAnswer = SoakAnswers.run(session, "WRITE " + itemName(callerIndex) + " " + value);
        if (!SoakAnswers.succeeded(beginAnswer) || !SoakAnswers.succeeded(writeAnswer)) {
            // No COMMIT was sent, so the write must not be in the log.
            recordWrite(value, Outcome.NOT_KEPT);
            return SoakAnswers.isSessionReady(writeAnswer)
                    && SoakAnswers.isSessionReady(SoakAnswers.run(session, "ROLLBACK"));
        }
        boolean shouldCommit = random.nextInt(4) > 0;
        List<String> endAnswer = SoakAnswers.run(session, shouldCommit ? "COMMIT" : "ROLLBACK");
        recordWrite(value, shouldCommit ? SoakAnswers.toOutcome(endAnswer) : Outcome.NOT_KEPT);
        return SoakAnswers.isSessionReady(endAnswer);
    }

    private boolean runRead(LineCaller session, int gateway, Freshness freshness) {
        int readIndex = random.nextInt(callerCount);
        long sentNanos = System.nanoTime();
        List<String> answer = SoakAnswers.run(session, "READ " + itemName(readIndex));
        if (SoakAnswers.succeeded(answer) && answer.get(0).startsWith("DATAROW ")) {
            String[] row = answer.get(0).substring("DATAROW ".length()).split("\\|", -1);
            long value = row[0].equals("-") ? 0 : Long.parseLong(row[0]);
            history.add(new Read(itemName(readIndex), value, sentNanos, freshness, sessionName(), gateway));
            if (!row[1].equals("who " + callerIndex + ";")) {
                history.addViolation("values mixed: session of caller " + callerIndex + " ran with " + row[1]);
            }
        }
        return SoakAnswers.isSessionReady(answer);
    }

    private void recordWrite(long value, Outcome outcome) {
        history.add(new Write(itemName(callerIndex), value, System.nanoTime(), outcome, sessionName()));
    }

    private String sessionName() {
        return callerIndex + "-" + sessionCount;
    }

    private static String itemName(int callerIndex) {
        return "item-" + callerIndex;
    }
}
