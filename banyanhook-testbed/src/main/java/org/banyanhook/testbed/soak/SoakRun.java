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

/** Plays one seed: starts a fleet, lets callers use it while faults come, heals it, and checks the promises. */
public final class SoakRun {

    private static final int GATEWAYS = 4;
    private static final int CALLERS = 8;
    private static final long START_MILLIS = 60_000;

    /** Within this time after the last fault everybody is served again; the users' bound for recovery. */
    private static final long RECOVERY_MILLIS = 12_000;

    private static final long POLL_MILLIS = 200;
    private static final long CALLER_END_MILLIS = 20_000;

    private final long seed;
    private final long millis;
    private final Path folder;

    /**
     * What came of a run.
     *
     * @param seed the seed
     * @param faults what was played
     * @param broken the promises that were broken, one line each
     * @param summary what was counted
     */
    public record Result(long seed, List<String> faults, List<String> broken, String summary) {
        public Result {
            faults = List.copyOf(faults);
            broken = List.copyOf(broken);
        }
    }

    /**
     * Describes a run.
     *
     * @param seed draws the faults and the callers' statements
     * @param seconds how long faults come
     * @param folder takes the gateways' settings and logs
     */
    public SoakRun(long seed, int seconds, Path folder) {
        this.seed = seed;
        this.millis = TimeUnit.SECONDS.toMillis(seconds);
        this.folder = folder;
    }

    /**
     * Plays it.
     *
     * @return what came of it
     * @throws IOException if the fleet cannot be started
     * @throws InterruptedException if the thread is interrupted
     */
    public Result play() throws IOException, InterruptedException {
        ScheduledExecutorService schedule = Executors.newScheduledThreadPool(2);
        try (SoakLinks links = new SoakLinks(GATEWAYS, seed);
                GatewayFleet fleet = new GatewayFleet(folder, GATEWAYS, links)) {
            SoakHistory history = new SoakHistory();
            awaitService(fleet, history, START_MILLIS);
            SoakFaults faults = new SoakFaults(fleet, links, seed, schedule);
            faults.plan(millis);
            useFleet(fleet, history);
            schedule.shutdown();
            if (!schedule.awaitTermination(START_MILLIS, TimeUnit.MILLISECONDS)) {
                history.violation("a fault did not end");
            }
            links.heal();
            awaitService(fleet, history, RECOVERY_MILLIS);
            Set<String> rolledBack = fleet.group().rolledBackWrites();
            List<String> broken = history.check(
                    fleet.group()::countWrites, rolledBack, fleet.group().commitsInSupersededTerms());
            return new Result(seed, faults.played(), broken, summary(history, fleet, rolledBack));
        } finally {
            schedule.shutdownNow();
        }
    }

    private void useFleet(GatewayFleet fleet, SoakHistory history) throws InterruptedException {
        AtomicBoolean over = new AtomicBoolean();
        List<Thread> callers = new ArrayList<>();
        for (int number = 0; number < CALLERS; number++) {
            Thread caller =
                    new Thread(new SoakCaller(number, CALLERS, fleet, history, seed, over::get), "caller-" + number);
            caller.setDaemon(true);
            caller.start();
            callers.add(caller);
        }
        Thread.sleep(millis);
        over.set(true);
        for (Thread caller : callers) {
            caller.join(CALLER_END_MILLIS);
            if (caller.isAlive()) {
                history.violation(caller.getName() + " got no answer and no end of its connection");
            }
        }
    }

    /** Waits until every gateway serves a write. */
    private static void awaitService(GatewayFleet fleet, SoakHistory history, long limitMillis)
            throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMillis);
        for (int gateway = 0; gateway < fleet.gateways().size(); gateway++) {
            while (!serves(fleet.gateways().get(gateway).clientPort())) {
                if (System.nanoTime() - until > 0) {
                    history.violation("gateway " + gateway + " does not serve within " + limitMillis + " ms");
                    break;
                }
                Thread.sleep(POLL_MILLIS);
            }
        }
    }

    private static boolean serves(int port) {
        try (LineCaller caller = new LineCaller(port)) {
            return caller.open("current", GatewayFleet.API_KEYS.get(0)).get(0).startsWith("READY")
                    && caller.run("WRITE probe 1").get(0).startsWith("COMPLETE");
        } catch (IOException exception) {
            return false;
        }
    }

    private static String summary(SoakHistory history, GatewayFleet fleet, Set<String> rolledBack) {
        return history.count(SoakHistory.Outcome.ACKNOWLEDGED) + " writes acknowledged ("
                + history.acknowledgedRolledBack(rolledBack) + " of them rolled back by promotions), "
                + history.count(SoakHistory.Outcome.UNKNOWN) + " unknown, "
                + history.count(SoakHistory.Outcome.NOT_KEPT) + " not run, " + history.reads() + " reads, "
                + fleet.promotionRequestCount() + " orders of promotion";
    }
}
