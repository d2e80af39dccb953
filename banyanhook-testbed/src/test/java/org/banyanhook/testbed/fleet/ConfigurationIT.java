package org.banyanhook.testbed.fleet;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.banyanhook.core.configuration.FleetConfiguration;
import org.banyanhook.daemon.configuration.ConfigurationCodec;
import org.banyanhook.testbed.http.JsonAnswer;
import org.banyanhook.testbed.platform.PlatformFaults;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Changes, withdrawals and restarts under outages of the platform, with real processes. */
final class ConfigurationIT {

    private static final long START_TIMEOUT_MILLIS = 120_000;
    private static final Duration IN_FORCE_BOUND = Duration.ofSeconds(3);
    private static final Duration WITHDRAWAL_BOUND = Duration.ofSeconds(5);
    private static final Duration RESTART_BOUND = Duration.ofSeconds(60);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(50);

    private LocalFleet fleet;

    @BeforeEach
    void start() throws IOException, InterruptedException {
        fleet = LocalFleet.start(FleetScenario.named("vossberg"), 2, START_TIMEOUT_MILLIS);
    }

    @AfterEach
    void stop() throws IOException {
        fleet.close();
    }

    @Test
    void aChangeIsInForceOnEveryEntryVmWithinThreeSeconds() throws Exception {
        String account = fleet.scenario().accounts().get(1).name();

        JsonAnswer answer = fleet.command(fleet.entryVms().get(0), "set account " + account + " weight=3");

        assertWithMessage("%s", answer.body()).that(answer.status()).isEqualTo(200);
        long version = answer.number("version");
        awaitVersion(version, IN_FORCE_BOUND);
        assertThat(answer.body().at("/rows/0/notYetInForceOn")).isEmpty();
        assertThat(stored().version()).isEqualTo(2);
        assertThat(stored().account(account).orElseThrow().weight()).isEqualTo(3);
    }

    @Test
    void aKeyWithdrawnWhileThePlatformIsDownIsRefusedOnOpenConnectionsEverywhere() throws Exception {
        FleetCaller caller = fleet.caller(0);
        String account = fleet.scenario().accounts().get(0).name();
        fleet.entryVms().forEach(entryVm -> assertThat(status(caller, entryVm)).isEqualTo(200));
        setOutage(true);

        JsonAnswer answer = fleet.command(fleet.entryVms().get(0), "withdraw key " + account + " first");

        assertWithMessage("%s", answer.body()).that(answer.status()).isEqualTo(200);
        assertThat(answer.body().at("/rows/0/writtenToPlatform").asBoolean()).isFalse();
        await().pollInterval(POLL_INTERVAL)
                .atMost(WITHDRAWAL_BOUND)
                .untilAsserted(() -> fleet.entryVms()
                        .forEach(entryVm -> assertThat(status(caller, entryVm)).isEqualTo(401)));
        fleet.entryVms()
                .forEach(entryVm -> assertThat(status(fleet.caller(1), entryVm)).isEqualTo(200));

        setOutage(false);

        await().atMost(Duration.ofSeconds(10))
                .until(() -> stored().withdrawnKeyHashes().size() == 1);
        assertThat(stored().version()).isEqualTo(2);
    }

    @Test
    void anEntryVmRestartedDuringAnOutageTakesTheNewestConfigurationFromPeers() throws Exception {
        String account = fleet.scenario().accounts().get(1).name();
        fleet.command(fleet.entryVms().get(0), "set account " + account + " weight=3");
        awaitVersion(2, IN_FORCE_BOUND);
        setOutage(true);
        String withdrawn = fleet.scenario().accounts().get(0).name();
        fleet.command(fleet.entryVms().get(0), "withdraw key " + withdrawn + " first");
        String name = fleet.entryVms().get(3).name();
        fleet.entryVms().get(3).process().kill();

        EntryVmProcess restarted = fleet.restart(name);

        await().pollInterval(POLL_INTERVAL).atMost(RESTART_BOUND).until(() -> version(restarted) == 2);
        await().pollInterval(POLL_INTERVAL)
                .atMost(WITHDRAWAL_BOUND)
                .until(() -> status(fleet.caller(0), restarted) == 401);
        await().pollInterval(POLL_INTERVAL)
                .atMost(RESTART_BOUND)
                .until(() -> status(fleet.caller(1), restarted) == 200);
    }

    @Test
    void racingOperatorsLoseNoChangeAndTheLoserIsTold() throws Exception {
        List<EntryVmProcess> entryVms = fleet.entryVms();
        String account = fleet.scenario().accounts().get(2).name();
        List<JsonAnswer> commuting = entryVms.parallelStream()
                .map(entryVm ->
                        fleet.command(entryVm, "grant account race-" + entryVms.indexOf(entryVm) + " rate=1 burst=1"))
                .toList();
        commuting.forEach(answer ->
                assertWithMessage("%s", answer.body()).that(answer.status()).isEqualTo(200));
        long before = stored().version();
        awaitVersion(before, IN_FORCE_BOUND);

        List<JsonAnswer> conflicting = entryVms.parallelStream()
                .map(entryVm ->
                        fleet.command(entryVm, "set account " + account + " weight=" + (2 + entryVms.indexOf(entryVm))))
                .toList();

        long accepted =
                conflicting.stream().filter(answer -> answer.status() == 200).count();
        long told =
                conflicting.stream().filter(answer -> answer.status() == 409).count();
        assertThat(accepted).isAtLeast(1);
        assertThat(accepted + told).isEqualTo(entryVms.size());
        assertThat(stored().version()).isEqualTo(before + accepted);
        awaitVersion(before + accepted, IN_FORCE_BOUND);
    }

    private void setOutage(boolean outage) {
        fleet.platform().changeFaults(new PlatformFaults.Change(outage, null, null, null));
    }

    private void awaitVersion(long version, Duration bound) {
        await().pollInterval(POLL_INTERVAL)
                .atMost(bound)
                .untilAsserted(() -> fleet.entryVms()
                        .forEach(entryVm -> assertWithMessage(entryVm.name())
                                .that(version(entryVm))
                                .isEqualTo(version)));
    }

    private long version(EntryVmProcess entryVm) {
        return fleet.client()
                .call(entryVm.administration(), "GET", "/version", null, Map.of())
                .exceptionally(FleetCaller::unreachable)
                .join()
                .number("configurationVersion");
    }

    private int status(FleetCaller caller, EntryVmProcess entryVm) {
        String database = fleet.scenario().databases().get(0);
        return caller.send(entryVm, FleetRequest.of(FleetRoutes.CURRENT_READ, database, "get ready"))
                .exceptionally(FleetCaller::unreachable)
                .join()
                .status();
    }

    private FleetConfiguration stored() throws Exception {
        String text = fleet.platform().stored("configuration").orElseThrow();
        return new ConfigurationCodec().decode(text).configuration();
    }
}
