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

/** Draws faults from a seed and plays them at their times; they overlap. Used by the thread of one run. */
final class SoakFaults {

    /** One fault begins about this often. */
    private static final int INTERVAL_MILLIS = 1_200;

    private static final int SHORTEST_MILLIS = 400;
    private static final int LONGEST_MILLIS = 8_000;
    private static final int SLOW_MICROS = 120_000;

    private final GatewayFleet fleet;
    private final SoakLinks links;
    private final Random random;
    private final ScheduledExecutorService schedule;
    private final List<String> played = new ArrayList<>();

    /** Something that can fail, played from outside the gateways. */
    @FunctionalInterface
    private interface Step {
        void run() throws IOException, InterruptedException;
    }

    private record Fault(String name, Step begin, Step end) {}

    SoakFaults(GatewayFleet fleet, SoakLinks links, long seed, ScheduledExecutorService schedule) {
        this.fleet = fleet;
        this.links = links;
        this.random = new Random(seed);
        this.schedule = schedule;
    }

    /** Schedules faults over a time; all have ended when it is over. */
    void plan(long millis) {
        for (long at = INTERVAL_MILLIS; at < millis - SHORTEST_MILLIS; at += random.nextInt(2 * INTERVAL_MILLIS)) {
            Fault fault = draw();
            long length = Math.min(millis - at, SHORTEST_MILLIS + random.nextInt(LONGEST_MILLIS - SHORTEST_MILLIS));
            played.add(fault.name() + " at " + at + " for " + length);
            schedule.schedule(() -> play(fault.begin()), at, TimeUnit.MILLISECONDS);
            schedule.schedule(() -> play(fault.end()), at + length, TimeUnit.MILLISECONDS);
        }
    }

    /** Returns the faults in the order of their begin, with times in milliseconds. */
    List<String> played() {
        return List.copyOf(played);
    }

    private static void play(Step step) {
        try {
            step.run();
        } catch (IOException exception) {
            throw new IllegalStateException("a fault could not be played", exception);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    private Fault draw() {
        int gateway = random.nextInt(fleet.gateways().size());
        LineMember member = fleet.group().members().get(random.nextInt(3));
        return switch (random.nextInt(17)) {
            case 0 -> restarted("kill gateway " + gateway, gateway, ChildProcess::kill);
            case 1 -> restarted("terminate gateway " + gateway, gateway, ChildProcess::terminate);
            case 2 ->
                new Fault(
                        "freeze gateway " + gateway,
                        () -> freeze(gateway),
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
            case 12, 13, 14 -> isolatedPrimary();
            case 15 -> darkPrimary();
            default ->
                new Fault(
                        "silence the open connections of gateway " + gateway,
                        () -> links.of(gateway).values().forEach(FaultProxy::silenceOpenConnections),
                        () -> {});
        };
    }

    private Fault restarted(String name, int gateway, Consumer<ChildProcess> end) {
        return new Fault(name, () -> end.accept(fleet.gateways().get(gateway).process()), () -> fleet.restart(gateway));
    }

    private void freeze(int gateway) throws IOException, InterruptedException {
        ChildProcess process = fleet.gateways().get(gateway).process();
        if (process.isAlive()) {
            process.freeze();
        }
    }

    /** Cuts or slows the links of a gateway whose names begin with a text. */
    private Fault linkFault(String name, int gateway, String prefix) {
        int kind = random.nextInt(4);
        String kindName = List.of("both ways", "requests", "answers", "slow").get(kind);
        List<FaultProxy> chosen = links.of(gateway).entrySet().stream()
                .filter(link -> link.getKey().startsWith(prefix))
                .map(Map.Entry::getValue)
                .toList();
        return new Fault(
                name + ", " + kindName,
                () -> chosen.forEach(link -> begin(link, kind)),
                () -> chosen.forEach(link -> {
                    link.faults().heal();
                    link.faults().delay(0, 0);
                }));
    }

    private static void begin(FaultProxy link, int kind) {
        switch (kind) {
            case 0 -> link.cut();
            case 1 -> link.faults().dropRequests(true);
            case 2 -> link.faults().dropAnswers(true);
            default -> link.faults().delay(SLOW_MICROS, SLOW_MICROS);
        }
    }

    /** Partitions the primary from its replicas, from promotions and from some of the gateways. */
    private Fault isolatedPrimary() {
        List<Integer> cutOff = new ArrayList<>();
        for (int gateway = 0; gateway < fleet.gateways().size(); gateway++) {
            if (random.nextBoolean()) {
                cutOff.add(gateway);
            }
        }
        LineMember[] chosen = new LineMember[1];
        return new Fault(
                "isolate the primary, and from gateways " + cutOff,
                () -> {
                    LineMember primary = primary();
                    chosen[0] = primary;
                    fleet.group().isolate(primary, true);
                    cutOff.forEach(gateway -> cut(gateway, primary));
                },
                () -> {
                    LineMember primary = chosen[0];
                    fleet.group().isolate(primary, false);
                    cutOff.forEach(gateway -> heal(gateway, primary));
                });
    }

    private Fault darkPrimary() {
        LineMember[] chosen = new LineMember[1];
        return new Fault(
                "dark primary",
                () -> {
                    chosen[0] = primary();
                    chosen[0].unresponsive(true);
                },
                () -> chosen[0].unresponsive(false));
    }

    private LineMember primary() {
        List<LineMember> members = fleet.group().members();
        return members.stream().filter(fleet.group()::isPrimary).findFirst().orElse(members.get(0));
    }

    private void cut(int gateway, LineMember member) {
        FaultProxy link = links.of(gateway).get(member.name());
        if (link != null) {
            link.cut();
        }
    }

    private void heal(int gateway, LineMember member) {
        FaultProxy link = links.of(gateway).get(member.name());
        if (link != null) {
            link.faults().heal();
        }
    }
}
