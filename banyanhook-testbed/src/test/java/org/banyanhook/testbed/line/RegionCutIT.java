package org.banyanhook.testbed.line;

import static com.google.common.truth.Truth.assertWithMessage;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs gateways as separate processes while the region with the primary and most of them is cut off. */
final class RegionCutIT {

    private static final Duration MAXIMUM_START_TIME = Duration.ofSeconds(30);

    /** The entries of the gateways inside end 5 s after the cut; then a gateway outside no longer finds them. */
    private static final Duration UNTIL_ENTRIES_ENDED = Duration.ofSeconds(8);

    /** The longest time from the start of a gateway to a promotion by it, and as long again. */
    private static final Duration OBSERVED = Duration.ofSeconds(9);

    private static final int INSIDE = 0;

    @TempDir
    @SuppressWarnings("NullAway.Init")
    private Path folder;

    /** Review case 12: guards against machines that join outside and, with their votes, replace a primary in use. */
    @Test
    void machinesThatJoinDuringTheCutMakeNoSecondMajority() throws Exception {
        try (RegionLinks links = new RegionLinks(List.of("a", "a", "a", "b", "c", "b", "c"));
                GatewayFleet fleet = new GatewayFleet(folder, 5, links)) {
            playCut(fleet, links, Duration.ofSeconds(1), () -> {
                fleet.add();
                fleet.add();
            });
        }
    }

    /** Review case 15: guards against a restarted gateway that counts only the gateways it still finds in the store. */
    @Test
    void gatewayThatRestartsDuringTheCutMakesNoSecondMajority() throws Exception {
        try (RegionLinks links = new RegionLinks(List.of("a", "a", "a", "a", "b", "c"));
                GatewayFleet fleet = new GatewayFleet(folder, 6, links)) {
            playCut(fleet, links, UNTIL_ENTRIES_ENDED, () -> fleet.restart(5));
        }
    }

    /** A change of the fleet outside. */
    private interface Change {
        void make() throws IOException;
    }

    private static void playCut(GatewayFleet fleet, RegionLinks links, Duration delay, Change change) throws Exception {
        LineMember primary = fleet.group().members().get(0);
        int outside = fleet.gateways().size() - 1;
        awaitWrite(fleet, INSIDE, "start");
        awaitWrite(fleet, outside, "start");
        // The fleet has settled: the last gateway has had an entry for a few seconds.
        Thread.sleep(4_000);
        fleet.group().isolate(primary, true);
        links.cut(true);
        Thread.sleep(delay.toMillis());
        change.make();
        long endNanos = System.nanoTime() + OBSERVED.toNanos();
        // A primary that nobody needs outside is not missed there.
        Thread outsideWriter = new Thread(() -> writeUntil(fleet, outside, endNanos));
        outsideWriter.start();
        writeUntil(fleet, INSIDE, endNanos);
        outsideWriter.join();
        assertWithMessage("writes at the former primary; last log lines:\n%s", fleet.lastLogLines())
                .that(fleet.group().commitsInSupersededTerms())
                .isEmpty();
        awaitWrite(fleet, outside, "outside");
        links.cut(false);
        fleet.group().isolate(primary, false);
        awaitWrite(fleet, INSIDE, "end");
    }

    private static void writeUntil(GatewayFleet fleet, int gateway, long endNanos) {
        for (int number = 0; System.nanoTime() - endNanos < 0; number++) {
            write(fleet, gateway, "item-" + gateway + "-" + number);
        }
    }

    private static void awaitWrite(GatewayFleet fleet, int gateway, String item) {
        await().atMost(MAXIMUM_START_TIME)
                .pollInterval(Duration.ofMillis(50))
                .ignoreExceptions()
                .until(() -> write(fleet, gateway, item));
    }

    private static boolean write(GatewayFleet fleet, int gateway, String item) {
        try (LineCaller caller = new LineCaller(fleet.gateways().get(gateway).clientPort())) {
            caller.open("current", GatewayFleet.API_KEYS.get(0));
            return caller.run("WRITE " + item + " 1").stream().anyMatch(line -> line.startsWith("COMPLETE i-"));
        } catch (IOException exception) {
            return false;
        }
    }
}
