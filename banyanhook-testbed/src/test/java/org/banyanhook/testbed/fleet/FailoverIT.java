package org.banyanhook.testbed.fleet;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.banyanhook.testbed.backend.BackendFaults;
import org.banyanhook.testbed.http.JsonAnswer;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Primaries that fail while callers write, each test on a database of its own. */
final class FailoverIT {

    private static final long START_TIMEOUT_MILLIS = 120_000;
    private static final Duration CHANGE_LIMIT = Duration.ofSeconds(19);
    private static LocalFleet fleet;

    private interface Failure {
        void of(FleetMember primary) throws IOException, InterruptedException;
    }

    @BeforeAll
    static void start() throws IOException, InterruptedException {
        fleet = LocalFleet.start(FleetScenario.named("hanbit"), 1, START_TIMEOUT_MILLIS);
    }

    @AfterAll
    static void stop() throws IOException {
        fleet.close();
    }

    @Test
    void killedPrimaryIsReplacedWithoutLosingAcknowledgedWrites() throws IOException, InterruptedException {
        assertNothingIsLost(0, primary -> primary.process().kill());
    }

    @Test
    void pausedPrimaryIsReplacedAndRefusesOlderWorkOnceItGoesOn() throws IOException, InterruptedException {
        FleetMember paused = assertNothingIsLost(1, primary -> primary.process().freeze());
        paused.process().thaw();
        await().atMost(CHANGE_LIMIT)
                .until(() -> paused.status(fleet.client()).text("role").equals("replica"));
        await().atMost(CHANGE_LIMIT).until(() -> diverged(1) == 0);
    }

    @Test
    void isolatedPrimaryIsReplacedAndDropsWhatNobodyElseHas() throws IOException, InterruptedException {
        FleetMember isolated = assertNothingIsLost(
                2, primary -> primary.changeFaults(fleet.client(), BackendFaults.Change.isolated(true)));
        isolated.changeFaults(fleet.client(), BackendFaults.Change.isolated(false));
        await().atMost(CHANGE_LIMIT)
                .until(() -> isolated.status(fleet.client()).text("role").equals("replica"));
        await().atMost(CHANGE_LIMIT).until(() -> diverged(2) == 0);
    }

    private static FleetMember assertNothingIsLost(int databaseNumber, Failure failure)
            throws IOException, InterruptedException {
        String database = fleet.scenario().databases().get(databaseNumber);
        FleetMember primary = fleet.primary(database).orElseThrow();
        List<String> acknowledged = new ArrayList<>();
        for (int number = 0; number < 20; number++) {
            write(database, number, acknowledged);
        }
        assertThat(acknowledged).hasSize(20);
        failure.of(primary);
        int[] next = {20};
        await().atMost(CHANGE_LIMIT).until(() -> write(database, next[0]++, acknowledged) == 200);
        for (int number = 0; number < 10; number++) {
            write(database, next[0]++, acknowledged);
        }
        FleetMember successor = fleet.primary(database).orElseThrow();
        assertThat(successor.name()).isNotEqualTo(primary.name());
        List<String> keys = idempotencyKeys(successor);
        assertWithMessage("log of %s", successor.name()).that(keys).containsAtLeastElementsIn(acknowledged);
        assertThat(keys).containsNoDuplicates();
        return primary;
    }

    /** Writes under a new key through one entry VM after the other, and keeps the key if it is acknowledged. */
    private static int write(String database, int number, List<String> acknowledged) {
        String key = database + "-write-" + number;
        FleetRequest request = new FleetRequest(FleetRoutes.ONCE, database, "add count 1", 2_000L);
        EntryVmProcess entryVm = fleet.entryVms().get(number % fleet.entryVms().size());
        JsonAnswer answer = fleet.caller(number % 3)
                .send(entryVm, request, null, key)
                .exceptionally(FleetCaller::unreachable)
                .join();
        if (answer.status() == 200) {
            acknowledged.add(key);
        }
        return answer.status();
    }

    private static List<String> idempotencyKeys(FleetMember member) {
        List<String> keys = new ArrayList<>();
        fleet.client()
                .await(member.directAddress(), "GET", "/stand-in/log", null)
                .body()
                .forEach(entry -> keys.add(entry.path("idempotencyKey").asText("entry-" + entry.path("position"))));
        return keys;
    }

    /** Counts the members of a database whose log differs in the part that it shares with the primary's. */
    private static long diverged(int databaseNumber) {
        String database = fleet.scenario().databases().get(databaseNumber);
        List<String> primaryKeys = idempotencyKeys(fleet.primary(database).orElseThrow());
        return fleet.members().stream()
                .filter(member ->
                        member.database().equals(database) && member.process().isRunning())
                .map(FailoverIT::idempotencyKeys)
                .filter(keys -> {
                    int shared = Math.min(keys.size(), primaryKeys.size());
                    return !keys.subList(0, shared).equals(primaryKeys.subList(0, shared));
                })
                .count();
    }
}
