package org.banyanhook.daemon.caller;

import static com.google.common.truth.Truth.assertThat;
import static org.awaitility.Awaitility.await;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;
import org.banyanhook.core.key.KeyRegistry;
import org.banyanhook.daemon.backend.ScriptedBackendServer.Reply;
import org.banyanhook.daemon.execution.DrainWatch;
import org.banyanhook.daemon.execution.ExecutionFixture;
import org.banyanhook.daemon.execution.OutcomeReader;
import org.banyanhook.daemon.execution.RequestGate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards the caller interface: refusal of invalid requests, authentication, session tokens and draining. */
class CallerServerTest {

    private static final String STATEMENTS = "/v1/services/orders-db/statements";
    private static final String READ = "{\"route\":\"read\",\"database\":\"db\",\"statement\":\"get k\"}";
    private static final String BEARER = "Bearer " + ExecutionFixture.KEY;

    private final HttpClient client = HttpClient.newHttpClient();
    private final RequestGate requestGate = new RequestGate();
    private ExecutionFixture fixture;
    private CallerServer server;
    private DrainWatch drainWatch;
    private volatile boolean rateExceeded;

    @BeforeEach
    void start() throws Exception {
        fixture = new ExecutionFixture();
        drainWatch = new DrainWatch("east-1", "east", () -> fixture.configuration);
        server = CallerServer.builder()
                .preAuthenticationFilter(new DrainFilter(drainWatch))
                .connectionCloseCondition(drainWatch::isDraining)
                .configuration(() -> fixture.configuration)
                .authenticator(key -> KeyRegistry.of(fixture.configuration).accountOf(key))
                .rateLimiter((account, wait) -> rateExceeded
                        ? CompletableFuture.failedFuture(RefusalException.notRun(RefusalKind.RATE_EXCEEDED, "rate"))
                        : CompletableFuture.completedFuture(null))
                .statements(fixture.executor)
                .transactions(fixture.transactions)
                .outcomes(new OutcomeReader(fixture.executor))
                .requestGate(requestGate)
                .meters(fixture.meters)
                .build();
        server.start();
    }

    @AfterEach
    void stop() throws Exception {
        server.close();
        drainWatch.close();
        fixture.close();
    }

    private HttpResponse<String> post(String path, String body, String... headers) throws Exception {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + server.port() + path))
                .version(HttpClient.Version.HTTP_1_1)
                .POST(HttpRequest.BodyPublishers.ofString(body));
        if (headers.length > 0) {
            request.headers(headers);
        }
        return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    private static JsonNode json(HttpResponse<String> response) throws Exception {
        return new ObjectMapper().readTree(response.body());
    }

    private static void assertRefused(HttpResponse<String> response, String kind) throws Exception {
        assertThat(response.headers().firstValue("Content-Type")).hasValue("application/problem+json");
        JsonNode problem = json(response);
        assertThat(problem.path("kind").asText()).isEqualTo(kind);
        assertThat(problem.path("status").asInt()).isEqualTo(response.statusCode());
        assertThat(problem.path("execution").asText()).isEqualTo("not-run");
        assertThat(problem.path("remedy").asText()).isNotEmpty();
        assertThat(problem.path("requestId").asText()).isNotEmpty();
    }

    @Test
    void answersAReadAndEnforcesItsSessionPosition() throws Exception {
        fixture.primary.script(request -> Reply.ok(request.body(), 1, 4, "{\"value\":1.10}"));
        HttpResponse<String> first = post(STATEMENTS, READ, "Authorization", BEARER);
        assertThat(first.statusCode()).isEqualTo(200);
        assertThat(first.body()).contains("{\"value\":1.10}");
        assertThat(json(first).path("servedBy").asText()).isEqualTo("db-1");
        String session = first.headers().firstValue("Banyanhook-Session").orElseThrow();
        fixture.primary.script(request -> Reply.ok(request.body(), 1, 3, "0"));
        String body = READ.replace("}", ",\"deadlineMillis\":300}");
        HttpResponse<String> stale = post(STATEMENTS, body, "Authorization", BEARER, "Banyanhook-Session", session);
        assertThat(json(stale).path("kind").asText()).isEqualTo("primary-changed");
    }

    static Stream<Arguments> refusedRequests() {
        String read = READ;
        String oversize = "{\"route\":\"read\",\"database\":\"db\",\"statement\":\"" + "x".repeat(300_000) + "\"}";
        return Stream.of(
                Arguments.of("invalid JSON", STATEMENTS, "{", "malformed-request"),
                Arguments.of("JSON array instead of an object", STATEMENTS, "[]", "malformed-request"),
                Arguments.of("text after the object", STATEMENTS, read + "{}", "malformed-request"),
                Arguments.of("unknown field", STATEMENTS, read.replace("}", ",\"x\":1}"), "malformed-request"),
                Arguments.of(
                        "duplicate field", STATEMENTS, read.replace("}", ",\"route\":\"put\"}"), "malformed-request"),
                Arguments.of(
                        "number instead of a string", STATEMENTS, read.replace("\"get k\"", "7"), "malformed-request"),
                Arguments.of("null statement", STATEMENTS, read.replace("\"get k\"", "null"), "malformed-request"),
                Arguments.of(
                        "missing database", STATEMENTS, read.replace("\"database\":\"db\",", ""), "malformed-request"),
                Arguments.of(
                        "deadline of zero",
                        STATEMENTS,
                        read.replace("}", ",\"deadlineMillis\":0}"),
                        "malformed-request"),
                Arguments.of(
                        "deadline as a string",
                        STATEMENTS,
                        read.replace("}", ",\"deadlineMillis\":\"5\"}"),
                        "malformed-request"),
                Arguments.of("oversized body", STATEMENTS, oversize, "body-too-large"),
                Arguments.of("unknown path", "/v1/other", read, "malformed-request"),
                Arguments.of("unknown service", STATEMENTS.replace("orders", "other"), read, "service-unknown"),
                Arguments.of("unknown database", STATEMENTS, read.replace("\"db\"", "\"xx\""), "database-unknown"),
                Arguments.of("unknown route", STATEMENTS, read.replace("\"read\"", "\"xx\""), "route-unknown"),
                Arguments.of(
                        "missing idempotency key",
                        STATEMENTS,
                        read.replace("\"read\"", "\"append\""),
                        "idempotency-key-missing"));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("refusedRequests")
    void refusesInvalidRequestsWithoutContactingABackendServer(String name, String path, String body, String kind)
            throws Exception {
        assertRefused(post(path, body, "Authorization", BEARER), kind);
        assertThat(fixture.primary.receivedRequests()).isEmpty();
    }

    static Stream<Arguments> refusedHeaders() {
        return Stream.of(
                Arguments.of(new String[] {}, "key-missing"),
                Arguments.of(new String[] {"Authorization", "Basic abc"}, "key-missing"),
                Arguments.of(new String[] {"Authorization", "Bearer wrong"}, "key-unknown"),
                Arguments.of(new String[] {"Authorization", BEARER, "Authorization", BEARER}, "malformed-request"),
                Arguments.of(new String[] {"Authorization", BEARER, "Banyanhook-Session", "abc"}, "session-invalid"),
                Arguments.of(
                        new String[] {"Authorization", BEARER, "Idempotency-Key", "k".repeat(300)},
                        "malformed-request"),
                Arguments.of(
                        new String[] {"Authorization", BEARER, "Padding", "x".repeat(20_000)}, "malformed-request"));
    }

    @ParameterizedTest
    @MethodSource("refusedHeaders")
    void refusesInvalidHeadersWithoutContactingABackendServer(String[] headers, String kind) throws Exception {
        HttpResponse<String> response = post(STATEMENTS, READ, headers);
        assertThat(json(response).path("kind").asText()).isEqualTo(kind);
        assertThat(fixture.primary.receivedRequests()).isEmpty();
    }

    @Test
    void refusesAWithdrawnKeyOnAnExistingConnection() throws Exception {
        assertThat(post(STATEMENTS, READ, "Authorization", BEARER).statusCode()).isEqualTo(200);
        fixture.configuration = fixture.configuration(Set.of(ExecutionFixture.KEY_HASH));
        assertRefused(post(STATEMENTS, READ, "Authorization", BEARER), "key-withdrawn");
    }

    @Test
    void servesARouteOpenToAllWithoutAKeyButNotWithAnUnknownKey() throws Exception {
        String open = READ.replace("\"read\"", "\"open\"");
        assertThat(post(STATEMENTS, open).statusCode()).isEqualTo(200);
        assertRefused(post(STATEMENTS, open, "Authorization", "Bearer wrong"), "key-unknown");
        assertRefused(post(STATEMENTS, open, "Idempotency-Key", "k"), "key-missing");
    }

    @Test
    void refusesASessionOfAnotherAccount() throws Exception {
        String open = READ.replace("\"read\"", "\"open\"");
        String session = post(STATEMENTS, open)
                .headers()
                .firstValue("Banyanhook-Session")
                .orElseThrow();
        assertRefused(
                post(STATEMENTS, READ, "Authorization", BEARER, "Banyanhook-Session", session), "session-invalid");
    }

    @Test
    void refusesRequestsBeyondTheRate() throws Exception {
        rateExceeded = true;
        assertRefused(post(STATEMENTS, READ, "Authorization", BEARER), "rate-exceeded");
    }

    @Test
    void doesNotForwardCallerHeadersToABackendServer() throws Exception {
        String session = post(STATEMENTS, READ, "Authorization", BEARER)
                .headers()
                .firstValue("Banyanhook-Session")
                .orElseThrow();
        post(STATEMENTS, READ, "Authorization", BEARER, "Banyanhook-Session", session, "Other", "secret-value");
        assertThat(fixture.primary.receivedRequests()).hasSize(2);
        for (String received : fixture.primary.receivedRequests()) {
            assertThat(received).doesNotContain(ExecutionFixture.KEY);
            assertThat(received).doesNotContain(session);
            assertThat(received).doesNotContain("secret-value");
        }
    }

    @Test
    void refusesNewRequestsWhileDrainingAndFinishesThoseInProgress() throws Exception {
        CompletableFuture<Void> confirmation = new CompletableFuture<>();
        CompletableFuture<Boolean> reached = new CompletableFuture<>();
        fixture.confirmer = (database, position, timeout) -> {
            reached.complete(true);
            return confirmation;
        };
        CompletableFuture<HttpResponse<String>> inProgress = CompletableFuture.supplyAsync(() -> {
            try {
                return post(STATEMENTS, READ, "Authorization", BEARER);
            } catch (Exception exception) {
                throw new IllegalStateException(exception);
            }
        });
        reached.get(5, TimeUnit.SECONDS);
        requestGate.close();
        HttpResponse<String> refused = post(STATEMENTS, READ, "Authorization", BEARER);
        assertRefused(refused, "entry-vm-draining");
        assertThat(refused.headers().firstValue("Connection")).hasValue("close");
        await().atMost(5, TimeUnit.SECONDS).until(() -> requestGate.inProgress() == 1);
        confirmation.complete(null);
        assertThat(inProgress.get(5, TimeUnit.SECONDS).statusCode()).isEqualTo(200);
    }

    @Test
    void closesConnectionsThenRefusesIfTheFailureDomainIsTakenOut() throws Exception {
        assertThat(post(STATEMENTS, READ, "Authorization", BEARER).headers().firstValue("Connection"))
                .isEmpty();
        fixture.configuration = fixture.configurationWithDomainTakenOut("east");
        HttpResponse<String> first = post(STATEMENTS, READ, "Authorization", BEARER);
        assertThat(first.statusCode()).isEqualTo(200);
        assertThat(first.headers().firstValue("Connection")).hasValue("close");
        await().atMost(5, TimeUnit.SECONDS)
                .until(() -> post(STATEMENTS, READ, "Authorization", BEARER).statusCode() == 503);
        assertRefused(post(STATEMENTS, READ, "Authorization", BEARER), "failure-domain-taken-out");
    }

    @Test
    void closesConnectionsThenRefusesIfTheEntryVmIsDrained() throws Exception {
        assertThat(post(STATEMENTS, READ, "Authorization", BEARER).headers().firstValue("Connection"))
                .isEmpty();
        fixture.configuration = fixture.configuration.toBuilder()
                .drainedEntryVms(Set.of("east-1"))
                .build();
        HttpResponse<String> first = post(STATEMENTS, READ, "Authorization", BEARER);
        assertThat(first.statusCode()).isEqualTo(200);
        assertThat(first.headers().firstValue("Connection")).hasValue("close");
        await().atMost(5, TimeUnit.SECONDS)
                .until(() -> post(STATEMENTS, READ, "Authorization", BEARER).statusCode() == 503);
        assertRefused(post(STATEMENTS, READ, "Authorization", BEARER), "entry-vm-draining");
    }

    @Test
    void drainDoesNotInterruptRequestsInFlight() throws Exception {
        ConcurrentHashMap<String, Integer> outcomes = new ConcurrentHashMap<>();
        List<CompletableFuture<Void>> callers = new ArrayList<>();
        for (int caller = 0; caller < 6; caller++) {
            callers.add(CompletableFuture.runAsync(() -> {
                String outcome = "";
                while (!outcome.endsWith("close")) {
                    outcome = sendOneRequest();
                    outcomes.merge(outcome, 1, Integer::sum);
                }
            }));
        }
        await().atMost(5, TimeUnit.SECONDS).until(() -> outcomes.getOrDefault("200", 0) > 20);
        boolean ended =
                new CallerDrain(server, requestGate, () -> 0).run(Duration.ofMillis(300), Duration.ofSeconds(5));
        for (CompletableFuture<Void> caller : callers) {
            caller.get(10, TimeUnit.SECONDS);
        }
        assertThat(ended).isTrue();
        assertThat(outcomes.keySet()).containsAtLeast("200", "200 close");
        assertThat(outcomes.keySet()).doesNotContain("cut close");
    }

    /**
     * Sends a request and returns the status and the Connection header of its reply. The callers of the test stop at
     * the first reply that asks them to reconnect, because a balancer would then select another entry VM.
     */
    private String sendOneRequest() {
        try {
            HttpResponse<String> response = post(STATEMENTS, READ, "Authorization", BEARER);
            String connection = response.headers().firstValue("Connection").orElse("");
            return (response.statusCode() + " " + connection).trim();
        } catch (Exception exception) {
            return "cut close";
        }
    }
}
