package org.banyanhook.testbed.load;

import static com.google.common.base.Preconditions.checkArgument;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.banyanhook.testbed.fleet.EntryVmProcess;
import org.banyanhook.testbed.fleet.FleetMember;
import org.banyanhook.testbed.fleet.FleetRoutes;
import org.banyanhook.testbed.fleet.FleetScenario;
import org.banyanhook.testbed.fleet.LocalFleet;
import org.banyanhook.testbed.http.JsonAnswer;

/** One run of load and faults on a running fleet. */
final class Experiment {

    /** What is done to the fleet while the load runs. */
    enum Fault {
        NONE,
        PRIMARY,
        FROZEN_PRIMARY,
        DOMAIN,
        FLOOD
    }

    /** How requests reach the databases. */
    enum Baseline {
        NONE,
        PRIMARY_READS,
        DIRECT
    }

    /** The settings of a run. */
    record Plan(Fault fault, Baseline baseline, long seed, long warmUpMillis, long durationMillis) {
        Plan {
            checkArgument(durationMillis >= 1_000, "durationMillis must be at least 1000, was %s", durationMillis);
        }
    }

    private static final long CALLER_DEADLINE_MILLIS = 2_000;
    private static final double FLOOD_FACTOR = 6;
    private static final int FLOODING_ACCOUNT = 0;

    private final LocalFleet fleet;
    private final Plan plan;
    private final PrintWriter output;
    private final List<FigureCalculator.GapWindow> windows = new ArrayList<>();

    Experiment(LocalFleet fleet, Plan plan, PrintWriter output) {
        this.fleet = fleet;
        this.plan = plan;
        this.output = output;
    }

    Figures run() throws InterruptedException {
        try (Balancer balancer = new Balancer(fleet, plan.seed())) {
            ServicePath path = path(balancer);
            new LoadGenerator(path, loads("warm-up")).run(plan.warmUpMillis());
            LoadGenerator generator = new LoadGenerator(path, loads("load"));
            Thread faults = new Thread(() -> play(generator), "faults");
            faults.setDaemon(true);
            faults.start();
            generator.run(plan.durationMillis());
            faults.join();
            LogChecker.Result log = LogChecker.check(fleet, generator.acknowledgedKeys());
            return FigureCalculator.calculate(generator.samples(), windows, plan.durationMillis(), log);
        }
    }

    private ServicePath path(Balancer balancer) {
        return switch (plan.baseline()) {
            case DIRECT -> new DirectPath(fleet);
            case PRIMARY_READS -> new FleetPath(fleet, balancer, FleetRoutes.CURRENT_READ, CALLER_DEADLINE_MILLIS);
            case NONE -> new FleetPath(fleet, balancer, FleetRoutes.READ, CALLER_DEADLINE_MILLIS);
        };
    }

    private List<AccountLoad> loads(String phase) {
        FleetScenario scenario = fleet.scenario();
        return IntStream.range(0, scenario.accounts().size())
                .mapToObj(number -> new AccountLoad(scenario, number, factor(number), plan.seed(), phase))
                .toList();
    }

    private double factor(int account) {
        return plan.fault() == Fault.FLOOD && account == FLOODING_ACCOUNT ? FLOOD_FACTOR : 1;
    }

    private void play(LoadGenerator generator) {
        try {
            switch (plan.fault()) {
                case PRIMARY, FROZEN_PRIMARY -> failPrimaries(generator);
                case DOMAIN -> moveDomain(generator);
                default -> say(generator, "no fault is played");
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        } catch (IOException exception) {
            throw new UncheckedIOException("the fault could not be played", exception);
        }
    }

    private void failPrimaries(LoadGenerator generator) throws InterruptedException, IOException {
        List<String> databases = fleet.scenario().databases();
        long intervalMillis = plan.durationMillis() / (databases.size() + 1);
        for (int number = 0; number < databases.size(); number++) {
            awaitElapsed(generator, intervalMillis * (number + 1));
            String database = databases.get(number);
            FleetMember primary = fleet.primary(database)
                    .orElseThrow(() -> new IllegalStateException("database " + database + " has no primary"));
            long failedMillis = generator.elapsedMillis();
            if (plan.fault() == Fault.PRIMARY) {
                primary.process().kill();
            } else {
                primary.process().freeze();
            }
            windows.add(
                    new FigureCalculator.GapWindow(database, failedMillis - intervalMillis / 2, plan.durationMillis()));
            say(generator, plan.fault() + " at " + primary.name());
        }
    }

    private void moveDomain(LoadGenerator generator) throws InterruptedException {
        String domain = fleet.scenario().failureDomains().get(0).name();
        EntryVmProcess operators = fleet.entryVms().get(fleet.entryVms().size() - 1);
        awaitElapsed(generator, plan.durationMillis() / 3);
        JsonAnswer taken = fleet.command(operators, "take-out failure-domain " + domain);
        say(generator, "take-out failure-domain " + domain + ": " + taken.status() + " " + taken.body());
        awaitElapsed(generator, plan.durationMillis() * 2 / 3);
        JsonAnswer returned = fleet.command(operators, "return failure-domain " + domain);
        say(generator, "return failure-domain " + domain + ": " + returned.status() + " " + returned.body());
    }

    private void awaitElapsed(LoadGenerator generator, long millis) throws InterruptedException {
        Thread.sleep(Math.max(0, millis - generator.elapsedMillis()));
    }

    private void say(LoadGenerator generator, String text) {
        output.println("  at " + generator.elapsedMillis() / 1000.0 + " s: " + text);
        output.flush();
    }
}
