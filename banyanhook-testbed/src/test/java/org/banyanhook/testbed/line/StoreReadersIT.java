package org.banyanhook.testbed.line;

import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.banyanhook.core.store.StoreReaders;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs gateways as separate processes, one of which has the changes of the store from the readers of its domain. */
final class StoreReadersIT {

    /** Gateways are placed in three failure domains in turn, so the first has three of seven. */
    private static final int GATEWAYS = 7;

    private static final Map<String, Integer> DOMAIN_A = Map.of("edge-0", 0, "edge-3", 3, "edge-6", 6);
    private static final Duration MAXIMUM_START_TIME = Duration.ofSeconds(60);

    /** The users' bound for configurations and withdrawn keys. */
    private static final Duration MAXIMUM_DELAY = Duration.ofSeconds(5);

    @TempDir
    @SuppressWarnings("NullAway.Init")
    private Path folder;

    /** Guards against configurations that a frozen or dead reader keeps from the others. */
    @Test
    void configurationsArriveInTimeWhileReadersAreFrozenAndKilled() throws Exception {
        List<String> readers = StoreReaders.select("a", DOMAIN_A.keySet());
        int follower = DOMAIN_A.entrySet().stream()
                .filter(entry -> !readers.contains(entry.getKey()))
                .mapToInt(Map.Entry::getValue)
                .findFirst()
                .orElseThrow();
        try (GatewayFleet fleet = new GatewayFleet(
                folder,
                GATEWAYS,
                GatewayFleet.EndpointProvider.DIRECT,
                new GatewayFleet.ProcessLimits(List.of("-Xmx64m"), List.of()))) {
            fleet.connectionLimit(GATEWAYS - 1);
            fleet.configureAccounts(GatewayFleet.API_KEYS, 1_000);
            awaitLine(fleet, follower, "\"event\":\"store-way\",\"change\":\"reader\"", MAXIMUM_START_TIME);
            for (String reader : readers) {
                fleet.gateways().get(DOMAIN_A.getOrDefault(reader, 0)).process().freeze();
                changeConfiguration(fleet, follower);
                fleet.gateways().get(DOMAIN_A.getOrDefault(reader, 0)).process().thaw();
                changeConfiguration(fleet, follower);
            }
            fleet.gateways()
                    .get(DOMAIN_A.getOrDefault(readers.get(0), 0))
                    .process()
                    .kill();
            changeConfiguration(fleet, follower);
        }
    }

    private static void changeConfiguration(GatewayFleet fleet, int follower) {
        fleet.configureAccounts(GatewayFleet.API_KEYS, 1_000);
        awaitLine(
                fleet,
                follower,
                "\"event\":\"configuration\",\"version\":" + fleet.configurationVersion() + ",",
                MAXIMUM_DELAY);
    }

    private static void awaitLine(GatewayFleet fleet, int gateway, String text, Duration maximum) {
        await().atMost(maximum).pollInterval(Duration.ofMillis(50)).until(() -> contains(fleet, gateway, text));
    }

    private static boolean contains(GatewayFleet fleet, int gateway, String text) throws IOException {
        return Files.readString(fleet.gateways().get(gateway).process().output())
                .contains(text);
    }
}
