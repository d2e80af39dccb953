package org.banyanhook.testbed.rate;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.banyanhook.core.configuration.ClientAccount;
import org.banyanhook.core.configuration.FleetConfiguration;
import org.banyanhook.core.rate.RateTimings;

/** A fleet of {@link RateProcess} in virtual time with faults, and the check that no window is exceeded. */
final class RateWorld {

    private static final long LIST_LAG_NANOS = 10_000_000_000L;

    private final EventQueue queue = new EventQueue();
    private final Random random;
    private final FakePlatform platform = new FakePlatform();
    private final FaultyNetwork network;
    private final List<RateProcess> processes = new ArrayList<>();
    private final Map<String, WindowChecker> checkers = new TreeMap<>();
    private final Map<String, long[]> outcomes = new HashMap<>();
    private FleetConfiguration configuration;
    private long incarnations = 1_000;
    private long asks;

    RateWorld(long seed, FleetConfiguration configuration) {
        this.random = new Random(seed);
        this.configuration = configuration;
        this.network = new FaultyNetwork(queue, random);
        for (ClientAccount account : configuration.accounts()) {
            checkers.put(account.name(), new WindowChecker(account.ratePerSecond(), account.burst()));
            outcomes.put(account.name(), new long[2]);
        }
        queue.every(1_000_000_000, this::updateList);
        platform.watch((domain, stored) -> processes.stream()
                .filter(process -> process.failureDomain().equals(domain))
                .forEach(process -> network.send(platform, process, true, () -> process.onWatched(stored))));
    }

    EventQueue queue() {
        return queue;
    }

    Random random() {
        return random;
    }

    FakePlatform platform() {
        return platform;
    }

    FaultyNetwork network() {
        return network;
    }

    List<RateProcess> processes() {
        return processes;
    }

    FleetConfiguration configuration() {
        return configuration;
    }

    long reclaimNanos() {
        return RateTimings.DEFAULT.reclaimDelayNanos();
    }

    Map<String, WindowChecker> checkers() {
        return checkers;
    }

    long asks() {
        return asks;
    }

    void countAsk() {
        asks++;
    }

    /** Returns how many requests of an account were accepted and refused. */
    long[] outcomes(String account) {
        return outcomes.getOrDefault(account, new long[2]);
    }

    /** Puts a configuration in force; the window check goes on with the larger rate and burst of the two. */
    void configure(FleetConfiguration newConfiguration) {
        for (ClientAccount account : newConfiguration.accounts()) {
            ClientAccount old = configuration.account(account.name()).orElse(account);
            checker(account.name())
                    .change(
                            Math.max(old.ratePerSecond(), account.ratePerSecond()),
                            Math.max(old.burst(), account.burst()),
                            queue.nowNanos());
        }
        configuration = newConfiguration;
    }

    WindowChecker checker(String account) {
        WindowChecker checker = checkers.get(account);
        if (checker == null) {
            throw new IllegalArgumentException("no account " + account);
        }
        return checker;
    }

    RateProcess start(String name, String domain) {
        RateProcess process = new RateProcess(this, name, domain, ++incarnations);
        processes.add(process);
        return process;
    }

    Optional<RateProcess> find(String name) {
        for (int i = processes.size() - 1; i >= 0; i--) {
            if (processes.get(i).name().equals(name) && processes.get(i).isAlive()) {
                return Optional.of(processes.get(i));
            }
        }
        return Optional.empty();
    }

    List<RateProcess> alive() {
        return processes.stream().filter(RateProcess::isAlive).toList();
    }

    /** Sends a request of an account to a process and counts the outcome. */
    void request(RateProcess process, String account, long waitNanos) {
        long[] counts = outcomes(account);
        process.acquire(account, waitNanos, accepted -> {
            counts[accepted ? 0 : 1]++;
            if (accepted) {
                checker(account).accepted(queue.nowNanos());
            }
        });
    }

    double highestExcess() {
        return Collections.max(
                checkers.values().stream().map(WindowChecker::highestExcess).toList());
    }

    private void updateList() {
        Map<String, Set<String>> current = new TreeMap<>();
        for (RateProcess process : alive()) {
            current.computeIfAbsent(process.failureDomain(), domain -> new java.util.TreeSet<>())
                    .add(process.name());
        }
        queue.after(LIST_LAG_NANOS, () -> {
            for (String domain : configuration.failureDomains().stream()
                    .map(failureDomain -> failureDomain.name())
                    .toList()) {
                platform.listed(domain).clear();
                platform.listed(domain).addAll(current.getOrDefault(domain, Set.of()));
            }
        });
    }
}
