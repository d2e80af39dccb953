package org.banyanhook.testbed.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.banyanhook.testbed.line.GatewayFleet;
import org.banyanhook.testbed.line.LineCaller;

/**
 * Runs the soak for one seed: starts a fleet, sends statements while faults are injected, ends the faults, and checks
 * the guarantees.
 */
public final class SoakRun {

    private static final int DEFAULT_GATEWAY_COUNT = 4;
    private static final int DEFAULT_CALLER_COUNT = 8;

    /** Limits the start of the fleet, and the wait for the faults to end after the callers have stopped. */
    private static final long START_TIMEOUT_MILLIS = 60_000;

    /** The users' bound for recovery: every gateway executes writes again within this time after the last fault. */
    private static final long RECOVERY_TIMEOUT_MILLIS = 12_000;

    private static final long POLL_INTERVAL_MILLIS = 200;
    private static final long CALLER_JOIN_TIMEOUT_MILLIS = 20_000;

    private final long seed;
    private final long faultPeriodMillis;
    private final Path folder;
    private final SoakScenario scenario;
    private final int gatewayCount;
    private final int callerCount;

    /**
     * The result of a run.
     *
     * @param seed the seed
     * @param faults the injected faults with start time and duration, one line each
     * @param violations the violated guarantees, one line each
     * @param summary the numbers of writes by outcome, of reads and of promotion requests
     */
    public record Result(long seed, List<String> faults, List<String> violations, String summary) {
        public Result {
            faults = List.copyOf(faults);
            violations = List.copyOf(violations);
        }
    }

    private SoakRun(Builder builder) {
        this.seed = builder.seed;
        this.faultPeriodMillis = TimeUnit.SECONDS.toMillis(builder.seconds);
        this.folder = builder.folder;
        this.scenario = builder.scenario;
        this.gatewayCount = builder.gatewayCount;
        this.callerCount = builder.callerCount;
    }

    /**
     * Returns a builder of a run.
     *
     * @param seed the seed of the faults and of the callers' statements
     * @param folder the folder for the settings and logs of the gateways
     */
    public static Builder builder(long seed, Path folder) {
        return new Builder(seed, folder);
    }

    /** Builds a {@link SoakRun}. Not thread-safe. */
    public static final class Builder {
        private final long seed;
        private final Path folder;
        private int seconds = 20;
        private SoakScenario scenario = SoakScenario.FAULTS;
        private int gatewayCount = DEFAULT_GATEWAY_COUNT;
        private int callerCount = DEFAULT_CALLER_COUNT;

        private Builder(long seed, Path folder) {
            this.seed = seed;
            this.folder = folder;
        }

        /** Sets the period in which faults are injected. Defaults to 20 s. */
        public Builder seconds(int value) {
            seconds = value;
            return this;
        }

        /** Replaces faults by planned work, during which no answer may be cut off. */
        public Builder plannedWork() {
            scenario = SoakScenario.PLANNED_WORK;
            return this;
        }

        /** Sets the number of gateways. */
        public Builder gateways(int value) {
            gatewayCount = value;
            return this;
        }

        /** Sets the number of callers. */
        public Builder callers(int value) {
            callerCount = value;
            return this;
        }

        /** Creates the run. */
        public SoakRun build() {
            return new SoakRun(this);
        }
    }

    /**
     * Runs the soak.
     *
     * @return the violations and the summary
     * @throws IOException if the fleet cannot be started
     * @throws InterruptedException if the thread is interrupted
     */
    public Result run() throws IOException, InterruptedException {
        ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(2);
        try (SoakLinks links = new SoakLinks(gatewayCount, seed);
                GatewayFleet fleet = new GatewayFleet(folder, gatewayCount, links)) {
            SoakHistory history = new SoakHistory();
            awaitService(fleet, history, START_TIMEOUT_MILLIS);
            SoakScenario.Schedule schedule = scenario.newSchedule(fleet, links, seed, scheduler);
            schedule.start(faultPeriodMillis);
            runCallers(fleet, history);
            scheduler.shutdown();
            if (!scheduler.awaitTermination(START_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
                history.addViolation("a fault did not end");
            }
            links.heal();
            awaitService(fleet, history, RECOVERY_TIMEOUT_MILLIS);
            Set<String> rolledBack = fleet.group().rolledBackWrites();
            List<String> violations = history.check(
                    fleet.group()::countWrites, rolledBack, fleet.group().commitsInSupersededTerms());
            fleet.group()
                    .requestsInTakenOutDomains()
                    .forEach(request -> violations.add("reached a domain that was taken out: " + request));
            return new Result(seed, schedule.descriptions(), violations, summary(history, fleet, rolledBack));
        } finally {
            scheduler.shutdownNow();
        }
    }

    private void runCallers(GatewayFleet fleet, SoakHistory history) throws InterruptedException {
        AtomicBoolean stopRequested = new AtomicBoolean();
        List<Thread> callers = new ArrayList<>();
        for (int number = 0; number < callerCount; number++) {
            Thread caller = new Thread(
                    scenario.newCaller(
                            new SoakCaller.Setting(number, callerCount, fleet, history, seed, stopRequested::get)),
                    "caller-" + number);
            caller.setDaemon(true);
            caller.start();
            callers.add(caller);
        }
        Thread.sleep(faultPeriodMillis);
        stopRequested.set(true);
        for (Thread caller : callers) {
            caller.join(CALLER_JOIN_TIMEOUT_MILLIS);
            if (caller.isAlive()) {
                history.addViolation(caller.getName() + " got no answer and no end of its connection");
            }
        }
    }

    /** Waits until each gateway has executed a write, and records a violation for each one that did not in time. */
    private static void awaitService(GatewayFleet fleet, SoakHistory history, long timeoutMillis)
            throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        for (int gateway = 0; gateway < fleet.gateways().size(); gateway++) {
            while (!servesWrite(fleet.gateways().get(gateway).clientPort())) {
                if (System.nanoTime() - deadlineNanos > 0) {
                    history.addViolation("gateway " + gateway + " does not serve within " + timeoutMillis + " ms");
                    break;
                }
                Thread.sleep(POLL_INTERVAL_MILLIS);
            }
        }
    }

    private static boolean servesWrite(int port) {
        try (LineCaller caller = new LineCaller(port)) {
            return caller.open("current", GatewayFleet.API_KEYS.get(0)).get(0).startsWith("READY")
                    && caller.run("WRITE probe 1").get(0).startsWith("COMPLETE");
        } catch (IOException exception) {
            return false;
        }
    }

    private static String summary(SoakHistory history, GatewayFleet fleet, Set<String> rolledBack) {
        return history.countWrites(SoakHistory.Outcome.ACKNOWLEDGED) + " writes acknowledged ("
                + history.countRolledBackAcknowledged(rolledBack) + " of them rolled back by promotions), "
                + history.countWrites(SoakHistory.Outcome.UNKNOWN) + " unknown, "
                + history.countWrites(SoakHistory.Outcome.NOT_KEPT) + " not run, " + history.reads() + " reads, "
                + fleet.promotionRequestCount() + " orders of promotion";
    }
}
