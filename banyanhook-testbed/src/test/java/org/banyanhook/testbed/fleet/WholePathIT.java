package org.banyanhook.testbed.fleet;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.util.List;
import java.util.Locale;
import org.banyanhook.testbed.http.JsonAnswer;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The whole path with real processes: callers, daemons, backend servers, the platform and operators. */
final class WholePathIT {

    private static final long START_TIMEOUT_MILLIS = 120_000;
    private static LocalFleet fleet;

    @BeforeAll
    static void start() throws IOException, InterruptedException {
        fleet = LocalFleet.start(FleetScenario.named("hanbit"), 1, START_TIMEOUT_MILLIS);
    }

    @AfterAll
    static void stop() throws IOException {
        fleet.close();
    }

    @Test
    void sessionReadsItsWritesThroughEveryEntryVm() {
        FleetCaller caller = fleet.caller(0);
        for (String database : fleet.scenario().databases()) {
            String session = null;
            List<EntryVmProcess> entryVms = fleet.entryVms();
            for (int round = 0; round < 12; round++) {
                FleetRequest write = FleetRequest.of(FleetRoutes.WRITE, database, "put round " + round);
                JsonAnswer written = caller.send(entryVms.get(round % 3), write, session, null)
                        .join();
                assertWithMessage("round %s: %s", round, written.body())
                        .that(written.status())
                        .isEqualTo(200);
                session = written.headers().get(FleetCaller.SESSION_HEADER);
                FleetRequest read = FleetRequest.of(FleetRoutes.READ, database, "get round");
                JsonAnswer seen = caller.send(entryVms.get((round + 1) % 3), read, session, null)
                        .join();
                assertWithMessage("round %s: %s", round, seen.body())
                        .that(seen.text("result"))
                        .isEqualTo(Integer.toString(round));
            }
        }
    }

    @Test
    void repeatedIdempotencyKeyRunsOnceWhicheverEntryVmServes() {
        String database = fleet.scenario().databases().get(1);
        FleetRequest write = FleetRequest.of(FleetRoutes.ONCE, database, "add batches 1");
        for (EntryVmProcess entryVm : fleet.entryVms()) {
            JsonAnswer answer =
                    fleet.caller(1).send(entryVm, write, null, "batch-1").join();
            assertWithMessage("%s", answer.body()).that(answer.text("result")).isEqualTo("1");
        }
    }

    @ParameterizedTest
    @CsvSource({
        "show services, inject-db",
        "show databases, inject-db-1",
        "explain inject-db read database=inject-db-1, inject-db-1"
    })
    void operatorsQueryIsAnswered(String command, String expected) {
        JsonAnswer answer = fleet.command(fleet.entryVms().get(0), command);
        assertWithMessage("%s: %s", command, answer.body())
                .that(answer.status())
                .isEqualTo(200);
        assertThat(answer.body().path("rows").toString()).contains(expected);
    }

    @Test
    void noBackendServerSeesACallersKeyOrSession() {
        FleetCaller caller = fleet.caller(0);
        String database = fleet.scenario().databases().get(0);
        JsonAnswer written = caller.send(
                        fleet.entryVms().get(0), FleetRequest.of(FleetRoutes.WRITE, database, "put k v"))
                .join();
        assertThat(written.status()).isEqualTo(200);
        for (FleetMember member : fleet.members()) {
            String received = fleet.client()
                    .await(member.directAddress(), "GET", "/stand-in/received", null)
                    .body()
                    .toString();
            assertThat(received)
                    .doesNotContain(fleet.scenario().accounts().get(0).key());
            assertThat(received.toLowerCase(Locale.ROOT)).doesNotContain(FleetCaller.SESSION_HEADER);
        }
    }
}
