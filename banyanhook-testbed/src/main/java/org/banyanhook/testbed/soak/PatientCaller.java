package org.banyanhook.testbed.soak;

import java.io.IOException;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.banyanhook.testbed.line.GatewayFleet;
import org.banyanhook.testbed.line.LineCaller;
import org.banyanhook.testbed.soak.SoakHistory.Outcome;
import org.banyanhook.testbed.soak.SoakHistory.Write;

/**
 * A caller that keeps its connection until the gateway ends it, and its transactions open for seconds. It expects an
 * answer to each statement: for planned work there is no reason to cut one off. Each caller runs on its own thread.
 */
final class PatientCaller implements Runnable {

    private static final int MAXIMUM_STATEMENTS_PER_TRANSACTION = 12;
    private static final int LONG_PAUSE_MILLIS = 700;
    private static final int SHORT_PAUSE_MILLIS = 30;
    private static final int RECONNECT_DELAY_MILLIS = 100;

    /** A connection that ends this soon after a statement was sent may have been closed before it arrived. */
    private static final long CROSSING_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /** The users' bound: a withdrawn key stops working within this time. */
    private static final long WITHDRAWAL_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final SoakCaller.Setting setting;
    private final Random random;
    private final String key;
    private final String item;
    private long lastValue;
    private int sessionCount;

    PatientCaller(SoakCaller.Setting setting) {
        this.setting = setting;
        this.random = new Random(setting.seed() * 31 + setting.callerIndex());
        this.key = GatewayFleet.API_KEYS.get(setting.callerIndex() % GatewayFleet.API_KEYS.size());
        this.item = "item-" + setting.callerIndex();
    }

    @Override
    public void run() {
        while (!setting.stopRequested().getAsBoolean()) {
            List<GatewayFleet.Gateway> gateways = setting.fleet().gateways();
            GatewayFleet.Gateway gateway = gateways.get(random.nextInt(gateways.size()));
            String database = random.nextBoolean() ? "current" : "own";
            try (LineCaller session = new LineCaller(gateway.clientPort())) {
                sessionCount++;
                if (session.open(database, key).get(0).startsWith("READY")) {
                    useUntilClosed(session);
                }
            } catch (IOException exception) {
                // The gateway is stopped; the next session goes to another one.
                SoakAnswers.pause(RECONNECT_DELAY_MILLIS);
            }
        }
    }

    private void useUntilClosed(LineCaller session) {
        boolean usable = true;
        while (usable && !setting.stopRequested().getAsBoolean()) {
            usable = switch (random.nextInt(4)) {
                case 0 -> runWrite(session);
                case 1 -> runReadTransaction(session);
                default -> runWriteTransaction(session);
            };
            SoakAnswers.pause(random.nextInt(SHORT_PAUSE_MILLIS));
        }
    }

    private boolean runWrite(LineCaller session) {
        long value = ++lastValue;
        long sentNanos = System.nanoTime();
        List<String> answer = run(session, "WRITE " + item + " " + value);
        record(value, answer, sentNanos);
        return SoakAnswers.isSessionReady(answer);
    }

    private boolean runReadTransaction(LineCaller session) {
        List<String> answer = run(session, "BEGIN READ");
        int statements = 1 + random.nextInt(MAXIMUM_STATEMENTS_PER_TRANSACTION);
        for (int number = 0; number < statements && SoakAnswers.succeeded(answer); number++) {
            answer = run(session, "READ " + item);
            SoakAnswers.pause(random.nextInt(LONG_PAUSE_MILLIS));
        }
        return SoakAnswers.isSessionReady(answer) && SoakAnswers.isSessionReady(run(session, "ROLLBACK"));
    }

    private boolean runWriteTransaction(LineCaller session) {
        long value = ++lastValue;
        int statements = 1 + random.nextInt(MAXIMUM_STATEMENTS_PER_TRANSACTION);
        int pauseMillis = random.nextBoolean() ? LONG_PAUSE_MILLIS : SHORT_PAUSE_MILLIS;
        List<String> answer = run(session, "BEGIN");
        for (int number = 0; number < statements && SoakAnswers.succeeded(answer); number++) {
            answer = run(session, number == 0 ? "WRITE " + item + " " + value : "READ " + item);
            SoakAnswers.pause(random.nextInt(pauseMillis));
        }
        if (!SoakAnswers.succeeded(answer)) {
            // No COMMIT was sent, so the write must not be in the log.
            setting.history().add(new Write(item, value, System.nanoTime(), Outcome.NOT_KEPT, sessionName()));
            return SoakAnswers.isSessionReady(answer) && SoakAnswers.isSessionReady(run(session, "ROLLBACK"));
        }
        long sentNanos = System.nanoTime();
        List<String> ended = run(session, "COMMIT");
        record(value, ended, sentNanos);
        return SoakAnswers.isSessionReady(ended);
    }

    private void record(long value, List<String> answer, long sentNanos) {
        setting.history().add(new Write(item, value, System.nanoTime(), SoakAnswers.toOutcome(answer), sessionName()));
        if (SoakAnswers.isCut(answer) && System.nanoTime() - sentNanos < CROSSING_NANOS) {
            setting.history().addUnansweredWrite(item + " " + value);
        }
    }

    private List<String> run(LineCaller session, String statement) {
        long sentNanos = System.nanoTime();
        long withdrawnNanos = setting.fleet().nanosSinceWithdrawal(key);
        List<String> answer = SoakAnswers.run(session, statement);
        if (SoakAnswers.isCut(answer) && System.nanoTime() - sentNanos >= CROSSING_NANOS) {
            setting.history()
                    .addViolation("cut off: " + statement + " of " + sessionName() + " after "
                            + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos) + " ms");
        }
        boolean ranAtMember = answer.stream().anyMatch(line -> line.startsWith("COMPLETE i-"));
        if (ranAtMember && withdrawnNanos > WITHDRAWAL_LIMIT_NANOS) {
            setting.history()
                    .addViolation("withdrawn key used: " + statement + " of " + sessionName() + " after "
                            + TimeUnit.NANOSECONDS.toMillis(withdrawnNanos) + " ms");
        }
        return answer;
    }

    private String sessionName() {
        return setting.callerIndex() + "-" + sessionCount;
    }
}
