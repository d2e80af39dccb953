package org.banyanhook.testbed.line;

import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.Callable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs gateways as separate processes while the store is restored from an older copy. */
final class StoreRestoreIT {

    private static final Duration MAXIMUM_START_TIME = Duration.ofSeconds(30);

    /** The users' target: every change of the primary is complete within this time. */
    private static final Duration MAXIMUM_FAILOVER_TIME = Duration.ofSeconds(19);

    @TempDir
    @SuppressWarnings("NullAway.Init")
    private Path folder;

    @SuppressWarnings("NullAway.Init")
    private GatewayFleet fleet;

    @BeforeEach
    void start() throws IOException {
        fleet = new GatewayFleet(folder, 3, (gateway, starting) -> {
            if (gateway == 0) {
                starting.store().startEras();
            }
            return GatewayFleet.EndpointProvider.DIRECT.endpointsOf(gateway, starting);
        });
        for (int gateway = 0; gateway < 3; gateway++) {
            awaitWrite(gateway, "start", MAXIMUM_START_TIME);
        }
    }

    @AfterEach
    void stop() throws IOException {
        fleet.close();
    }

    /** Guards against a primary that is never replaced again, since the revision of the promotion record was lost. */
    @Test
    void aPrimaryIsReplacedAfterTheStoreLostTheRecordOfTheLastPromotion() throws IOException {
        fleet.store().takeCopy();
        fleet.group().members().get(0).close();
        fleet.store().remove("servers/" + fleet.group().members().get(0).name());
        awaitWrite(1, "first", MAXIMUM_FAILOVER_TIME);
        restoreStore();
        awaitWrite(1, "restored", MAXIMUM_FAILOVER_TIME);
        fleet.group().startDraining(currentPrimary());
        LineMember draining = currentPrimary();
        eventually(MAXIMUM_FAILOVER_TIME, () -> !fleet.group().isPrimary(draining));
        awaitWrite(2, "second", MAXIMUM_FAILOVER_TIME);
    }

    /** Guards against a restarted gateway that takes the copy's older promotion for the last one. */
    @Test
    void aGatewayRestartedAfterTheRestoreUsesThePrimaryOfTheLostRecord() throws IOException {
        fleet.group().startDraining(fleet.group().members().get(0));
        eventually(
                MAXIMUM_FAILOVER_TIME,
                () -> !fleet.group().isPrimary(fleet.group().members().get(0)));
        awaitWrite(1, "first", MAXIMUM_FAILOVER_TIME);
        fleet.store().takeCopy();
        fleet.group().endDraining(fleet.group().members().get(0));
        LineMember second = currentPrimary();
        fleet.group().startDraining(second);
        eventually(MAXIMUM_FAILOVER_TIME, () -> !fleet.group().isPrimary(second));
        awaitWrite(1, "second", MAXIMUM_FAILOVER_TIME);
        restoreStore();
        fleet.restart(2);
        awaitWrite(2, "third", MAXIMUM_START_TIME);
    }

    /** The store is unavailable for a moment; operators and members write again a moment after its return. */
    private void restoreStore() {
        fleet.store().setUnavailable(true);
        pause(Duration.ofSeconds(1));
        fleet.store().restoreCopy();
        fleet.store().setUnavailable(false);
        pause(Duration.ofSeconds(1));
        fleet.store().repeatOutsideWrites();
    }

    private LineMember currentPrimary() {
        return fleet.group().members().stream()
                .filter(fleet.group()::isPrimary)
                .findFirst()
                .orElseThrow();
    }

    private void awaitWrite(int gateway, String item, Duration bound) throws IOException {
        try {
            eventually(bound, () -> {
                try (LineCaller caller =
                        new LineCaller(fleet.gateways().get(gateway).clientPort())) {
                    caller.open("current", GatewayFleet.API_KEYS.get(0));
                    return caller.run("WRITE " + item + " 1").stream().anyMatch(line -> line.startsWith("COMPLETE i-"));
                }
            });
        } catch (RuntimeException exception) {
            throw new AssertionError(
                    "gateway " + gateway + " served no write; last log lines:\n" + fleet.lastLogLines(), exception);
        }
    }

    private static void pause(Duration duration) {
        await().pollDelay(duration).atMost(duration.multipliedBy(2)).until(() -> true);
    }

    private static void eventually(Duration bound, Callable<Boolean> condition) {
        await().atMost(bound)
                .pollInterval(Duration.ofMillis(50))
                .ignoreExceptions()
                .until(condition);
    }
}
