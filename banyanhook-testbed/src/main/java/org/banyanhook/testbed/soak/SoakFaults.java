package org.banyanhook.testbed.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.banyanhook.testbed.faultproxy.FaultProxy;
import org.banyanhook.testbed.fleet.ChildProcess;
import org.banyanhook.testbed.line.GatewayFleet;
import org.banyanhook.testbed.line.LineMember;

/**
 * Generates a random sequence of overlapping faults from a seed and schedules their start and end. Confined to the
 * thread of one run, except for the scheduled actions.
 */
final class SoakFaults implements SoakScenario.Schedule {

    /** Mean time between the starts of two faults. */
    private static final int MEAN_FAULT_INTERVAL_MILLIS = 1_200;

    private static final int MIN_FAULT_DURATION_MILLIS = 400;
    private static final int MAX_FAULT_DURATION_MILLIS = 8_000;
    private static final int SLOW_LINK_DELAY_MICROS = 120_000;

    private final GatewayFleet fleet;
    private final SoakLinks links;
    private final Random random;
    private final ScheduledExecutorService scheduler;
    private final List<String> scheduledFaults = new ArrayList<>();

    /** Starts or ends a fault from outside the gateway processes. */
    @FunctionalInterface
    private interface FaultAction {
        void run() throws IOException, InterruptedException;
    }

    private record Fault(String name, FaultAction begin, FaultAction end) {}

    SoakFaults(GatewayFleet fleet, SoakLinks links, long seed, ScheduledExecutorService scheduler) {
        this.fleet = fleet;
        this.links = links;
        this.random = new Random(seed);
        this.scheduler = scheduler;
    }

    @Override
    public void start(long durationMillis) {
        for (long startMillis = MEAN_FAULT_INTERVAL_MILLIS;
                startMillis < durationMillis - MIN_FAULT_DURATION_MILLIS;
                startMillis += random.nextInt(2 * MEAN_FAULT_INTERVAL_MILLIS)) {
            Fault fault = randomFault();
            long faultMillis = Math.min(
                    durationMillis - startMillis,
                    MIN_FAULT_DURATION_MILLIS + random.nextInt(MAX_FAULT_DURATION_MILLIS - MIN_FAULT_DURATION_MILLIS));
            scheduledFaults.add(fault.name() + " at " + startMillis + " for " + faultMillis);
            scheduler.schedule(() -> runAction(fault.begin()), startMillis, TimeUnit.MILLISECONDS);
            scheduler.schedule(() -> runAction(fault.end()), startMillis + faultMillis, TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public List<String> descriptions() {
        return List.copyOf(scheduledFaults);
    }

    private static void runAction(FaultAction action) {
        try {
            action.run();
        } catch (IOException exception) {
            throw new IllegalStateException("could not start or end a fault", exception);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    private Fault randomFault() {
        int gateway = random.nextInt(fleet.gateways().size());
        LineMember member = fleet.group().members().get(random.nextInt(3));
        return switch (random.nextInt(17)) {
            case 0 -> restartFault("kill gateway " + gateway, gateway, ChildProcess::kill);
            case 1 -> restartFault("terminate gateway " + gateway, gateway, ChildProcess::terminate);
            case 2 ->
                new Fault(
                        "freeze gateway " + gateway,
                        () -> freezeGateway(gateway),
                        () -> fleet.gateways().get(gateway).process().thaw());
            case 3 -> linkFault("cut gateway " + gateway + " from the store", gateway, "store");
            case 4 -> linkFault("cut gateway " + gateway + " from " + member.name(), gateway, member.name());
            case 5 -> linkFault("cut gateway " + gateway + " from the others", gateway, "gateway-");
            case 6 -> linkFault("isolate gateway " + gateway, gateway, "");
            case 7 ->
                new Fault(
                        "store refuses",
                        () -> fleet.store().setUnavailable(true),
                        () -> fleet.store().setUnavailable(false));
            case 8 -> new Fault("store forgets its history", () -> fleet.store().discardHistory(), () -> {});
            case 9 ->
                new Fault("dark " + member.name(), () -> member.unresponsive(true), () -> member.unresponsive(false));
            case 10 ->
                new Fault(
                        "answers lost by " + member.name(),
                        () -> member.dropsAnswers(true),
                        () -> member.dropsAnswers(false));
            case 11 ->
                new Fault(
                        "deaf " + member.name(),
                        () -> fleet.group().replicationPaused(member, true),
                        () -> fleet.group().replicationPaused(member, false));
            case 12, 13, 14 -> isolatedPrimaryFault();
            case 15 -> unresponsivePrimaryFault();
            default ->
                new Fault(
                        "silence the open connections of gateway " + gateway,
                        () -> links.of(gateway).values().forEach(FaultProxy::silenceOpenConnections),
                        () -> {});
        };
    }

    private Fault restartFault(String name, int gateway, Consumer<ChildProcess> stopProcess) {
        return new Fault(
                name, () -> stopProcess.accept(fleet.gateways().get(gateway).process()), () -> fleet.restart(gateway));
    }

    private void freezeGateway(int gateway) throws IOException, InterruptedException {
        ChildProcess process = fleet.gateways().get(gateway).process();
        if (process.isAlive()) {
            process.freeze();
        }
    }

    /** Cuts, delays, or drops one direction of the links of a gateway whose names start with a prefix. */
    private Fault linkFault(String name, int gateway, String prefix) {
        int kind = random.nextInt(4);
        String kindName = List.of("both ways", "requests", "answers", "slow").get(kind);
        List<FaultProxy> affectedLinks = links.of(gateway).entrySet().stream()
                .filter(link -> link.getKey().startsWith(prefix))
                .map(Map.Entry::getValue)
                .toList();
        return new Fault(
                name + ", " + kindName,
                () -> affectedLinks.forEach(link -> applyLinkFault(link, kind)),
                () -> affectedLinks.forEach(link -> {
                    link.faults().heal();
                    link.faults().delay(0, 0);
                }));
    }

    private static void applyLinkFault(FaultProxy link, int kind) {
        switch (kind) {
            case 0 -> link.cut();
            case 1 -> link.faults().dropRequests(true);
            case 2 -> link.faults().dropAnswers(true);
            default -> link.faults().delay(SLOW_LINK_DELAY_MICROS, SLOW_LINK_DELAY_MICROS);
        }
    }

    /** Isolates the primary from its replicas, from promotion requests and from a random subset of the gateways. */
    private Fault isolatedPrimaryFault() {
        List<Integer> isolatedGateways = new ArrayList<>();
        for (int gateway = 0; gateway < fleet.gateways().size(); gateway++) {
            if (random.nextBoolean()) {
                isolatedGateways.add(gateway);
            }
        }
        LineMember[] affectedMember = new LineMember[1];
        return new Fault(
                "isolate the primary, and from gateways " + isolatedGateways,
                () -> {
                    LineMember primary = currentPrimary();
                    affectedMember[0] = primary;
                    fleet.group().isolate(primary, true);
                    isolatedGateways.forEach(gateway -> cutLink(gateway, primary));
                },
                () -> {
                    LineMember primary = affectedMember[0];
                    fleet.group().isolate(primary, false);
                    isolatedGateways.forEach(gateway -> healLink(gateway, primary));
                });
    }

    private Fault unresponsivePrimaryFault() {
        LineMember[] affectedMember = new LineMember[1];
        return new Fault(
                "dark primary",
                () -> {
                    affectedMember[0] = currentPrimary();
                    affectedMember[0].unresponsive(true);
                },
                () -> affectedMember[0].unresponsive(false));
    }

    private LineMember currentPrimary() {
        List<LineMember> members = fleet.group().members();
        return members.stream().filter(fleet.group()::isPrimary).findFirst().orElse(members.get(0));
    }

    private void cutLink(int gateway, LineMember member) {
        FaultProxy link = links.of(gateway).get(member.name());
        if (link != null) {
            link.cut();
        }
    }

    private void healLink(int gateway, LineMember member) {
        FaultProxy link = links.of(gateway).get(member.name());
        if (link != null) {
            link.faults().heal();
        }
    }
}
