package org.banyanhook.testbed.caller;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.awaitility.Awaitility;
import org.banyanhook.testbed.fleet.EntryVmProcess;
import org.banyanhook.testbed.fleet.FleetCaller;
import org.banyanhook.testbed.fleet.FleetMember;
import org.banyanhook.testbed.fleet.FleetRequest;
import org.banyanhook.testbed.fleet.FleetRoutes;
import org.banyanhook.testbed.fleet.FleetScenario;
import org.banyanhook.testbed.fleet.LocalFleet;
import org.banyanhook.testbed.http.JsonAnswer;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.MethodOrderer;
import org.junit.jupiter.api.Order;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestMethodOrder;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** What callers see of a fleet of real processes; the tests that end processes run last. */
@TestMethodOrder(MethodOrderer.OrderAnnotation.class)
final class CallerIT {

    private static final long START_TIMEOUT_MILLIS = 120_000;
    private static final int FAILOVER_BOUND_SECONDS = 19;
    private static LocalFleet fleet;

    @BeforeAll
    static void start() throws IOException, InterruptedException {
        fleet = LocalFleet.start(FleetScenario.named("vossberg"), 1, START_TIMEOUT_MILLIS);
    }

    @AfterAll
    static void stop() throws IOException {
        fleet.close();
    }

    private static EntryVmProcess entryVm(int number) {
        return fleet.entryVms().get(number);
    }

    private static String database(int number) {
        return fleet.scenario().databases().get(number);
    }

    private static String path(String rest) {
        return "/v1/services/" + fleet.scenario().service() + rest;
    }

    private static Map<String, String> keyed(int account) {
        Map<String, String> headers = new HashMap<>();
        headers.put(
                "Authorization",
                "Bearer " + fleet.scenario().accounts().get(account).key());
        return headers;
    }

    private static JsonAnswer post(int entryVm, String path, Object body, Map<String, String> headers) {
        return fleet.client()
                .call(entryVm(entryVm).callers(), "POST", path(path), body, headers)
                .exceptionally(FleetCaller::unreachable)
                .join();
    }

    private static Map<String, Object> statement(String route, String text) {
        Map<String, Object> body = new HashMap<>();
        body.put("route", route);
        body.put("database", database(0));
        body.put("statement", text);
        return body;
    }

    private static Map<String, Object> with(Map<String, Object> body, String field, Object value) {
        body.put(field, value);
        return body;
    }

    private static Map<String, String> withHeader(String name, String value) {
        Map<String, String> headers = keyed(0);
        headers.put(name, value);
        return headers;
    }

    static Stream<Arguments> badRequests() {
        Map<String, Object> read = statement(FleetRoutes.READ, "get k");
        return Stream.of(
                Arguments.of("/statements", List.of(1), keyed(0), "malformed-request"),
                Arguments.of(
                        "/statements", with(statement("read", "get k"), "other", 1), keyed(0), "malformed-request"),
                Arguments.of(
                        "/statements", with(statement("read", "get k"), "statement", 1), keyed(0), "malformed-request"),
                Arguments.of(
                        "/statements",
                        with(statement("read", "get k"), "deadlineMillis", -1),
                        keyed(0),
                        "malformed-request"),
                Arguments.of("/statements", statement("read", "x".repeat(2_000_000)), keyed(0), "body-too-large"),
                Arguments.of("/statements", read, withHeader("Padding", "x".repeat(20_000)), "malformed-request"),
                Arguments.of("/statements", read, Map.of(), "key-missing"),
                Arguments.of("/statements", read, Map.of("Authorization", "Bearer no-such-key"), "key-unknown"),
                Arguments.of("/statements", read, withHeader("Banyanhook-Session", "AAAA"), "session-invalid"),
                Arguments.of("/statements", statement("no-such-route", "get k"), keyed(0), "route-unknown"),
                Arguments.of(
                        "/statements", with(statement("read", "g"), "database", "none"), keyed(0), "database-unknown"),
                Arguments.of("/transactions/AAAA/commit", Map.of(), keyed(0), "transaction-unknown"),
                Arguments.of("/no-such-call", read, keyed(0), "malformed-request"));
    }

    @Order(1)
    @ParameterizedTest(name = "{3} {index}")
    @MethodSource("badRequests")
    void refusesBadInputAsNotRun(String path, Object body, Map<String, String> headers, String kind) {
        JsonAnswer answer = post(0, path, body, headers);
        assertThat(answer.text("kind")).isEqualTo(kind);
        assertThat(answer.text("execution")).isEqualTo("not-run");
        assertThat(answer.text("remedy")).isNotEmpty();
    }

    @Order(2)
    @Test
    void refusesASessionThatBelongsToAnotherAccountOrWasChanged() {
        JsonAnswer written = post(0, "/statements", statement(FleetRoutes.WRITE, "put s 1"), keyed(0));
        assertWithMessage("%s", written.body()).that(written.status()).isEqualTo(200);
        String session = written.headers().get(FleetCaller.SESSION_HEADER);
        Map<String, String> foreign = keyed(1);
        foreign.put("Banyanhook-Session", session);
        Map<String, Object> read = statement(FleetRoutes.READ, "get s");
        assertThat(post(1, "/statements", read, foreign).text("kind")).isEqualTo("session-invalid");
        String changed = (session.charAt(0) == 'A' ? "B" : "A") + session.substring(1);
        assertThat(post(1, "/statements", read, withHeader("Banyanhook-Session", changed))
                        .text("kind"))
                .isEqualTo("session-invalid");
    }

    @Order(3)
    @Test
    void transactionGoesOnThroughEveryEntryVmForItsOwnAccountOnly() {
        Map<String, Object> begin = new HashMap<>(Map.of("route", FleetRoutes.WRITE, "database", database(1)));
        JsonAnswer begun = post(0, "/transactions", begin, keyed(0));
        assertWithMessage("%s", begun.body()).that(begun.status()).isEqualTo(200);
        String transaction = "/transactions/" + begun.text("transactionId");
        for (int round = 0; round < 3; round++) {
            JsonAnswer added = post(round, transaction + "/statements", Map.of("statement", "add roaming 1"), keyed(0));
            assertWithMessage("%s", added.body()).that(added.status()).isEqualTo(200);
        }
        assertThat(post(1, transaction + "/commit", Map.of(), keyed(1)).text("kind"))
                .isEqualTo("transaction-unknown");
        JsonAnswer committed = post(2, transaction + "/commit", Map.of(), keyed(0));
        assertWithMessage("%s", committed.body()).that(committed.status()).isEqualTo(200);
        Map<String, Object> read = with(statement(FleetRoutes.CURRENT_READ, "get roaming"), "database", database(1));
        assertThat(post(1, "/statements", read, keyed(0)).text("result")).isEqualTo("3");
    }

    @Order(4)
    @Test
    void noBackendServerReceivesAKeyOrASession() {
        for (FleetMember member : fleet.members()) {
            String received = fleet.client()
                    .await(member.directAddress(), "GET", "/stand-in/received", null)
                    .body()
                    .toString();
            for (FleetScenario.Account account : fleet.scenario().accounts()) {
                assertThat(received).doesNotContain(account.key());
            }
            assertThat(received).doesNotContainMatch("(?i)banyanhook-session|authorization");
        }
    }

    @Order(5)
    @Test
    void anIdempotencyKeyUsedWithAnotherStatementIsAConflict() {
        Map<String, Object> first = with(statement(FleetRoutes.ONCE, "put a 1"), "database", database(0));
        Map<String, Object> second = with(statement(FleetRoutes.ONCE, "put a 2"), "database", database(0));
        Map<String, String> headers = withHeader("Idempotency-Key", "reused-1");
        JsonAnswer accepted = post(0, "/statements", first, headers);
        assertWithMessage("%s", accepted.body()).that(accepted.status()).isEqualTo(200);
        JsonAnswer refused = post(1, "/statements", second, headers);
        assertWithMessage("%s", refused.body()).that(refused.status()).isEqualTo(409);
        assertThat(refused.text("kind")).isEqualTo("idempotency-key-reused");
        assertThat(refused.text("execution")).isEqualTo("not-run");
    }

    @Order(5)
    @Test
    void idempotencyRetryThroughAnotherEntryVmAfterAFailoverRunsOnce() {
        Map<String, Object> write = with(statement(FleetRoutes.ONCE, "add once 1"), "database", database(2));
        Map<String, String> headers = withHeader("Idempotency-Key", "order-1");
        JsonAnswer first = post(0, "/statements", write, headers);
        assertWithMessage("%s", first.body()).that(first.status()).isEqualTo(200);
        fleet.primary(database(2)).orElseThrow().process().kill();
        List<JsonAnswer> answers = new ArrayList<>();
        Awaitility.await().atMost(FAILOVER_BOUND_SECONDS, TimeUnit.SECONDS).until(() -> {
            answers.add(post(1, "/statements", write, headers));
            return answers.get(answers.size() - 1).status() == 200;
        });
        JsonAnswer last = answers.get(answers.size() - 1);
        assertWithMessage("%s", last.body()).that(last.text("result")).isEqualTo("1");
        assertThat(last.body().path("replayed").asBoolean()).isTrue();
        JsonAnswer outcome = fleet.client()
                .call(entryVm(2).callers(), "GET", path("/outcomes/order-1?database=" + database(2)), null, keyed(0))
                .join();
        assertWithMessage("%s", outcome.body())
                .that(outcome.body().path("found").asBoolean())
                .isTrue();
    }

    @Order(6)
    @Test
    void shutdownUnderLoadCutsNoRequest() throws InterruptedException {
        EntryVmProcess leaving = entryVm(2);
        Map<String, Integer> outcomes = new ConcurrentHashMap<>();
        List<CompletableFuture<Void>> callers = new ArrayList<>();
        for (int caller = 0; caller < 4; caller++) {
            FleetCaller sender = fleet.caller(caller);
            FleetRequest read = FleetRequest.of(FleetRoutes.READ, database(caller % 2), "get s");
            callers.add(CompletableFuture.runAsync(() -> callUntilAskedToLeave(sender, leaving, read, outcomes)));
        }
        Awaitility.await()
                .atMost(FAILOVER_BOUND_SECONDS, TimeUnit.SECONDS)
                .until(() -> outcomes.getOrDefault("200", 0) > 20);
        leaving.process().terminate();
        CompletableFuture.allOf(callers.toArray(CompletableFuture[]::new)).join();
        assertThat(outcomes.keySet()).contains("200 close");
        assertThat(outcomes.keySet()).doesNotContain("cut close");
        Awaitility.await()
                .atMost(FAILOVER_BOUND_SECONDS, TimeUnit.SECONDS)
                .until(() -> !leaving.process().isAlive());
    }

    private static void callUntilAskedToLeave(
            FleetCaller sender, EntryVmProcess leaving, FleetRequest read, Map<String, Integer> outcomes) {
        String outcome = "";
        while (!outcome.endsWith("close")) {
            JsonAnswer answer = sender.send(leaving, read)
                    .exceptionally(FleetCaller::unreachable)
                    .join();
            outcome = answer.status() == 0
                    ? "cut close"
                    : (answer.status() + " " + answer.headers().getOrDefault("connection", "")).trim();
            outcomes.merge(outcome, 1, Integer::sum);
        }
    }
}
