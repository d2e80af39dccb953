package org.banyanhook.testbed.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.banyanhook.testbed.fleet.ChildProcess;
import org.banyanhook.testbed.line.GatewayFleet;
import org.banyanhook.testbed.line.LineMember;

/**
 * Series of planned work, drawn from a seed, that overlap each other. Nothing fails, so no answer may be cut off; some
 * gateways are paused for a moment when they are stopped. Confined to the thread of one run, except for the scheduled
 * actions.
 */
final class PlannedWork implements SoakScenario.Schedule {

    private static final int STOP_INTERVAL_MILLIS = 1_500;

    /** The grace period of a gateway, after which the platform kills it. */
    private static final int GRACE_MILLIS = 3_000;

    /** Longer than the grace period of a gateway, after which it is gone. */
    private static final int STOP_MILLIS = 3_200;

    /** One stop of this many, on average, is sent to a gateway that is paused. */
    private static final int STOPS_PER_PAUSE = 3;

    private static final int MAXIMUM_PAUSE_MILLIS = 600;

    /** How much of a pause lies before the stop. */
    private static final int PAUSE_LEAD_MILLIS = 50;

    private static final int SERIES_PAUSE_MILLIS = 1_000;
    private static final int SWITCHOVER_MILLIS = 2_500;

    /** Longer than the time in which a configuration has to be in force. */
    private static final int WITHDRAWAL_MILLIS = 4_500;

    /** Longer than the time in which a failure domain has to be left. */
    private static final int TAKEN_OUT_MILLIS = 7_000;

    private static final int CONFIGURATIONS_IN_QUICK_SUCCESSION = 5;
    private static final double RATE_PER_SECOND = 1_000;

    private final GatewayFleet fleet;
    private final Random random;

    /** A source of its own, so that the rest of the work of each seed does not depend on the pauses. */
    private final Random pauseRandom;

    private final ScheduledExecutorService scheduler;
    private final List<String> descriptions = new ArrayList<>();

    /** A part of the work, which must not fail. */
    @FunctionalInterface
    private interface Action {
        void run() throws IOException, InterruptedException;
    }

    PlannedWork(GatewayFleet fleet, long seed, ScheduledExecutorService scheduler) {
        this.fleet = fleet;
        this.random = new Random(seed);
        this.pauseRandom = new Random(~seed);
        this.scheduler = scheduler;
    }

    @Override
    public void start(long durationMillis) {
        repeat(durationMillis, SWITCHOVER_MILLIS, this::switchOver);
        repeat(durationMillis, WITHDRAWAL_MILLIS, this::withdrawKey);
        repeat(durationMillis, TAKEN_OUT_MILLIS, this::takeDomainOut);
        repeat(durationMillis, SERIES_PAUSE_MILLIS, this::configureInQuickSuccession);
        scheduleStops(durationMillis);
    }

    @Override
    public List<String> descriptions() {
        return List.copyOf(descriptions);
    }

    /** A part of the work that begins at a time and has a length. */
    @FunctionalInterface
    private interface Part {
        void schedule(long startMillis, long lengthMillis);
    }

    private void repeat(long durationMillis, long lengthMillis, Part part) {
        long startMillis = random.nextInt(2 * SERIES_PAUSE_MILLIS);
        while (startMillis + lengthMillis <= durationMillis) {
            part.schedule(startMillis, lengthMillis);
            startMillis += lengthMillis + SERIES_PAUSE_MILLIS + random.nextInt(2 * SERIES_PAUSE_MILLIS);
        }
    }

    /** Stops all gateways in turn; two are stopped at the same time, the others serve. */
    private void scheduleStops(long durationMillis) {
        List<Integer> order = new ArrayList<>();
        for (int gateway = 0; gateway < fleet.gateways().size(); gateway++) {
            order.add(gateway);
        }
        Collections.shuffle(order, random);
        int next = 0;
        for (long startMillis = random.nextInt(STOP_INTERVAL_MILLIS);
                startMillis + STOP_MILLIS <= durationMillis;
                startMillis += STOP_INTERVAL_MILLIS + random.nextInt(STOP_INTERVAL_MILLIS)) {
            int gateway = order.get(next++ % order.size());
            if (pauseRandom.nextInt(STOPS_PER_PAUSE) == 0) {
                pauseAcross(gateway, startMillis);
            }
            describe("stop gateway " + gateway, startMillis, STOP_MILLIS);
            at(startMillis, () -> process(gateway).terminate());
            at(startMillis + GRACE_MILLIS, () -> process(gateway).kill());
            at(startMillis + STOP_MILLIS, () -> fleet.restart(gateway));
        }
    }

    /** Pauses a gateway from shortly before a stop. */
    private void pauseAcross(int gateway, long stopMillis) {
        int lengthMillis = PAUSE_LEAD_MILLIS + pauseRandom.nextInt(MAXIMUM_PAUSE_MILLIS);
        long startMillis = Math.max(0, stopMillis - PAUSE_LEAD_MILLIS);
        describe("pause gateway " + gateway, startMillis, lengthMillis);
        at(startMillis, () -> process(gateway).freeze());
        at(startMillis + lengthMillis, () -> process(gateway).thaw());
    }

    private ChildProcess process(int gateway) {
        return fleet.gateways().get(gateway).process();
    }

    private void switchOver(long startMillis, long lengthMillis) {
        describe("replace the primary", startMillis, lengthMillis);
        LineMember[] leaving = new LineMember[1];
        at(startMillis, () -> {
            List<LineMember> members = fleet.group().members();
            leaving[0] = members.stream()
                    .filter(fleet.group()::isPrimary)
                    .findFirst()
                    .orElse(members.get(0));
            fleet.group().startDraining(leaving[0]);
        });
        at(startMillis + lengthMillis, () -> fleet.group().endDraining(leaving[0]));
    }

    private void withdrawKey(long startMillis, long lengthMillis) {
        describe("withdraw a key", startMillis, lengthMillis);
        at(startMillis, () -> fleet.configureAccounts(GatewayFleet.API_KEYS.subList(0, 1), RATE_PER_SECOND));
        at(startMillis + lengthMillis, () -> fleet.configureAccounts(GatewayFleet.API_KEYS, RATE_PER_SECOND));
    }

    private void takeDomainOut(long startMillis, long lengthMillis) {
        String domain = List.of("a", "b", "c").get(random.nextInt(3));
        describe("take out " + domain, startMillis, lengthMillis);
        at(startMillis, () -> fleet.group().takeOut(domain, true));
        at(startMillis + lengthMillis, () -> fleet.group().takeOut(domain, false));
    }

    private void configureInQuickSuccession(long startMillis, long lengthMillis) {
        describe("configure in quick succession", startMillis, lengthMillis);
        for (int change = 0; change < CONFIGURATIONS_IN_QUICK_SUCCESSION; change++) {
            at(
                    startMillis + change * lengthMillis / CONFIGURATIONS_IN_QUICK_SUCCESSION,
                    () -> fleet.configureAccounts(fleet.enabledKeys(), RATE_PER_SECOND));
        }
    }

    private void describe(String name, long startMillis, long lengthMillis) {
        descriptions.add(name + " at " + startMillis + " for " + lengthMillis);
    }

    private void at(long millis, Action action) {
        scheduler.schedule(
                () -> {
                    try {
                        action.run();
                    } catch (IOException exception) {
                        throw new IllegalStateException("could not carry out planned work", exception);
                    } catch (InterruptedException exception) {
                        Thread.currentThread().interrupt();
                    }
                },
                millis,
                TimeUnit.MILLISECONDS);
    }
}
