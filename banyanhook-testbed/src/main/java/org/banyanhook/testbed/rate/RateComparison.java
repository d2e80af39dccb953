package org.banyanhook.testbed.rate;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.banyanhook.core.configuration.ClientAccount;
import org.banyanhook.core.configuration.FailureDomain;
import org.banyanhook.core.configuration.FleetConfiguration;

/**
 * Compares allotments with a static division and with gossiped counters, in virtual time: 9 entry VMs in 3 failure
 * domains, 8 client accounts at 80% of their rates except one at 5 times its rate.
 */
public final class RateComparison {

    private static final List<String> DOMAINS = List.of("yorkton-kiln", "brandon-depot", "edmonton-wh");
    private static final int ENTRY_VMS = 9;
    private static final String FLOOD = "flood";
    private static final long SECOND = 1_000_000_000L;
    private static final long WARM_UP_NANOS = 20 * SECOND;
    private static final long MEASURED_NANOS = 300 * SECOND;
    private static final long STEP_NANOS = 10_000_000;
    private static final long WAIT_NANOS = 200_000_000;
    private static final double LOAD = 0.8;
    private static final double FLOOD_LOAD = 5;

    private final FleetConfiguration configuration = configuration();
    private final Scenario scenario;
    private final Random random;
    private final RateWorld world;
    private final Map<String, Tally> allotments = new TreeMap<>();
    private final Map<String, Tally> staticDivision = new TreeMap<>();
    private final Map<String, Tally> gossip = new TreeMap<>();
    private boolean measuring;
    private int restarted;

    /** How requests reach the entry VMs and what fails. */
    enum Scenario {
        EVEN,
        HALF_ON_ONE_ENTRY_VM,
        EACH_ACCOUNT_MOSTLY_ON_ONE_ENTRY_VM,
        FAILURE_DOMAIN_CUT_OFF,
        RESTARTS
    }

    /** Outcomes of one account under one strategy, beside those of a single bucket that sees every request at once. */
    private static final class Tally {
        private final WindowChecker checker;
        private final WindowChecker single;
        private long accepted;
        private long singleAccepted;
        private long wronglyRefused;

        Tally(ClientAccount account) {
            checker = new WindowChecker(account.ratePerSecond(), account.burst());
            single = new WindowChecker(account.ratePerSecond(), account.burst());
        }
    }

    RateComparison(Scenario scenario, long seed) {
        this.scenario = scenario;
        this.random = new Random(seed);
        this.world = new RateWorld(seed, configuration);
        for (ClientAccount account : configuration.accounts()) {
            allotments.put(account.name(), new Tally(account));
            staticDivision.put(account.name(), new Tally(account));
            gossip.put(account.name(), new Tally(account));
        }
    }

    /** Prints a table of all scenarios. */
    public static void main(String[] arguments) {
        PrintStream out = System.out;
        out.println(
                "| scenario | way | refused within the rate | worst-served account | flood gets | over the bound |");
        out.println("|---|---|---|---|---|---|");
        for (Scenario scenario : Scenario.values()) {
            RateComparison comparison = new RateComparison(scenario, 1);
            comparison.run();
            comparison.print(out);
        }
    }

    void run() {
        for (int i = 0; i < ENTRY_VMS; i++) {
            world.start("vm-" + i, DOMAINS.get(i % DOMAINS.size()));
        }
        EventQueue queue = world.queue();
        RateStrategy divided = new StaticDivision(configuration, ENTRY_VMS);
        RateStrategy gossiped = new GossipedCounters(configuration, ENTRY_VMS, queue, this::reaches);
        queue.every(STEP_NANOS, () -> arrivals(divided, gossiped));
        queue.runFor(WARM_UP_NANOS);
        measuring = true;
        startFaults(queue);
        queue.runFor(MEASURED_NANOS);
        measuring = false;
        queue.runFor(SECOND);
    }

    private void startFaults(EventQueue queue) {
        if (scenario == Scenario.FAILURE_DOMAIN_CUT_OFF) {
            queue.after(60 * SECOND, () -> island(1));
            queue.after(180 * SECOND, () -> island(0));
        }
        if (scenario == Scenario.RESTARTS) {
            queue.every(
                    30 * SECOND,
                    () -> world.find("vm-" + restarted++ % ENTRY_VMS).ifPresent(process -> {
                        process.shutDown();
                        queue.after(5 * SECOND, () -> world.start(process.name(), process.failureDomain()));
                    }));
        }
    }

    private void island(int number) {
        world.processes().stream()
                .filter(process -> process.failureDomain().equals(DOMAINS.get(0)))
                .forEach(process -> process.island(number));
    }

    private boolean reaches(int from, int to) {
        RateProcess first = world.find("vm-" + from).orElse(null);
        RateProcess second = world.find("vm-" + to).orElse(null);
        return first != null && second != null && first.reaches(second);
    }

    private void arrivals(RateStrategy divided, RateStrategy gossiped) {
        int number = 0;
        for (ClientAccount account : configuration.accounts()) {
            double load = account.name().equals(FLOOD) ? FLOOD_LOAD : LOAD;
            double expected = account.ratePerSecond() * load * STEP_NANOS / SECOND;
            int count = (int) expected + (random.nextDouble() < expected - (int) expected ? 1 : 0);
            for (int i = 0; i < count; i++) {
                int entryVm = chooseEntryVm(number);
                arrival(entryVm, account.name(), divided, gossiped);
            }
            number++;
        }
    }

    private int chooseEntryVm(int accountNumber) {
        double draw = random.nextDouble();
        if (scenario == Scenario.HALF_ON_ONE_ENTRY_VM && draw < 0.5) {
            return 0;
        }
        if (scenario == Scenario.EACH_ACCOUNT_MOSTLY_ON_ONE_ENTRY_VM && draw < 0.8) {
            return accountNumber % ENTRY_VMS;
        }
        int entryVm = random.nextInt(ENTRY_VMS);
        boolean gone = world.find("vm-" + entryVm)
                .filter(process -> !process.isLeaving())
                .isEmpty();
        return gone ? (entryVm + 1) % ENTRY_VMS : entryVm;
    }

    private void arrival(int entryVm, String account, RateStrategy divided, RateStrategy gossiped) {
        boolean counted = measuring;
        record(
                allotments,
                account,
                counted,
                outcome -> world.find("vm-" + entryVm)
                        .ifPresentOrElse(
                                process -> process.acquire(account, WAIT_NANOS, outcome), () -> outcome.accept(false)));
        record(staticDivision, account, counted, outcome -> tryUntil(divided, entryVm, account, outcome, WAIT_NANOS));
        record(gossip, account, counted, outcome -> tryUntil(gossiped, entryVm, account, outcome, WAIT_NANOS));
    }

    private void record(
            Map<String, Tally> tallies, String account, boolean counted, Consumer<Consumer<Boolean>> request) {
        Tally tally = tallies.get(account);
        if (tally == null) {
            return;
        }
        long now = world.queue().nowNanos();
        boolean single = tally.single.wouldAccept(now);
        if (single) {
            tally.single.accepted(now);
        }
        request.accept(accepted -> {
            if (accepted) {
                tally.checker.accepted(world.queue().nowNanos());
            }
            if (counted) {
                tally.accepted += accepted ? 1 : 0;
                tally.singleAccepted += single ? 1 : 0;
                tally.wronglyRefused += single && !accepted ? 1 : 0;
            }
        });
    }

    private void tryUntil(
            RateStrategy strategy, int entryVm, String account, Consumer<Boolean> outcome, long waitNanos) {
        if (strategy.accept(entryVm, account, world.queue().nowNanos())) {
            outcome.accept(true);
        } else if (waitNanos <= 0) {
            outcome.accept(false);
        } else {
            world.queue()
                    .after(
                            2 * STEP_NANOS,
                            () -> tryUntil(strategy, entryVm, account, outcome, waitNanos - 2 * STEP_NANOS));
        }
    }

    private void print(PrintStream out) {
        printRow(out, "allotments", allotments);
        printRow(out, "static division", staticDivision);
        printRow(out, "gossiped counters", gossip);
    }

    private void printRow(PrintStream out, String way, Map<String, Tally> tallies) {
        long wronglyRefused = 0;
        long singleAccepted = 0;
        double worst = 1;
        double excess = 0;
        for (Map.Entry<String, Tally> entry : tallies.entrySet()) {
            Tally tally = entry.getValue();
            excess = Math.max(excess, tally.checker.highestExcess());
            if (!entry.getKey().equals(FLOOD)) {
                wronglyRefused += tally.wronglyRefused;
                singleAccepted += tally.singleAccepted;
                worst = Math.min(worst, 1 - (double) tally.wronglyRefused / tally.singleAccepted);
            }
        }
        Tally flood = tallies.get(FLOOD);
        double floodShare = flood == null ? 0 : (double) flood.accepted / flood.singleAccepted;
        out.printf(
                Locale.ROOT,
                "| %s | %s | %.2f%% | %.1f%% served | %.0f%% of its rate | %.1f requests |%n",
                scenario.name().toLowerCase(Locale.ROOT).replace('_', ' '),
                way,
                100.0 * wronglyRefused / singleAccepted,
                100 * worst,
                100 * floodShare,
                excess);
    }

    private static FleetConfiguration configuration() {
        List<FailureDomain> domains = new ArrayList<>();
        DOMAINS.forEach(name -> domains.add(new FailureDomain(name, "region", 1.0 / DOMAINS.size(), false)));
        List<ClientAccount> accounts = List.of(
                account("large-1", 60, 60),
                account("large-2", 40, 40),
                account("middle-1", 10, 10),
                account("middle-2", 10, 20),
                account("small-1", 2, 6),
                account("small-2", 2, 4),
                account("tiny", 0.5, 3),
                account(FLOOD, 20, 20));
        return new FleetConfiguration(1, domains, accounts, List.of(), Set.of(), List.of(), List.of());
    }

    private static ClientAccount account(String name, double ratePerSecond, double burst) {
        return new ClientAccount(name, List.of(), ratePerSecond, burst, 1);
    }
}
