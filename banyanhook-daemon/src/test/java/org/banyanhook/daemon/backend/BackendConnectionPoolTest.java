package org.banyanhook.daemon.backend;

import static com.google.common.truth.Truth.assertThat;
import static java.util.Objects.requireNonNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.banyanhook.core.configuration.BackendServer;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;
import org.banyanhook.daemon.backend.ScriptedBackendServer.Reply;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Checks that a connection is reused only after a complete response to its own request. A connection reused after a
 * timeout or a malformed response could deliver that response to a later request.
 */
class BackendConnectionPoolTest {

    private static final Duration SHORT_TIMEOUT = Duration.ofMillis(300);
    private static final Duration LONG_TIMEOUT = Duration.ofSeconds(5);

    private HttpClient client;
    private ScriptedBackendServer server;
    private BackendConnectionPool pool;

    @BeforeEach
    void start() throws Exception {
        client = BackendHttpClientFactory.start(new QueuedThreadPool(20));
        server = new ScriptedBackendServer();
        pool = new BackendConnectionPool(client, new SimpleMeterRegistry());
    }

    @AfterEach
    void stop() throws Exception {
        pool.close();
        server.close();
        client.stop();
    }

    private CompletableFuture<LeasedConnection> lease(int share, Duration timeout) {
        BackendServer member = new BackendServer("db-1", "domain", server.address(), false);
        long deadline = System.nanoTime() + timeout.toNanos();
        return pool.lease(new LeaseRequest("db", member, share, "acme", 1, deadline, false));
    }

    private LeasedConnection leaseNow() throws Exception {
        return lease(4, Duration.ofSeconds(5)).get(5, TimeUnit.SECONDS);
    }

    private static BackendResponse send(LeasedConnection connection) throws Exception {
        return send(connection, LONG_TIMEOUT);
    }

    private static BackendResponse send(LeasedConnection connection, Duration timeout) throws Exception {
        return connection
                .send(BackendRequest.statement(1, "get k", false, null), timeout)
                .get(5, TimeUnit.SECONDS);
    }

    private static BackendException sendExpectingFailure(LeasedConnection connection) {
        ExecutionException exception = assertThrows(ExecutionException.class, () -> send(connection, SHORT_TIMEOUT));
        return requireCause(BackendException.class, exception);
    }

    private static <T extends Throwable> T requireCause(Class<T> type, ExecutionException exception) {
        assertThat(exception).hasCauseThat().isInstanceOf(type);
        return type.cast(requireNonNull(exception.getCause()));
    }

    @Test
    void reusesAConnectionAfterACompleteResponse() throws Exception {
        for (int request = 0; request < 3; request++) {
            LeasedConnection connection = leaseNow();
            assertThat(send(connection).resultJson()).isEqualTo("{\"n\":1}");
            connection.release();
        }
        assertThat(server.connectionCount()).isEqualTo(1);
    }

    static Stream<Arguments> invalidResponses() {
        String otherRequestsBody =
                "{\"answerId\":\"of-another\",\"term\":1,\"lastTerm\":1,\"position\":1,\"result\":1}";
        return Stream.of(
                Arguments.of("no response", Reply.noResponse()),
                Arguments.of("connection closed before the response", Reply.closeWithoutResponse()),
                Arguments.of("truncated response", Reply.truncated(Reply.json(200, otherRequestsBody))),
                Arguments.of("response to another request", Reply.json(200, otherRequestsBody)),
                Arguments.of(
                        "refusal of another request", Reply.json(409, "{\"answerId\":\"x\",\"error\":\"wrong-term\"}")),
                Arguments.of("refusal without an answer id", Reply.json(409, "{\"error\":\"wrong-term\"}")),
                Arguments.of(
                        "declared length above the length sent",
                        new Reply(Reply.http(200, otherRequestsBody, 500), false)),
                Arguments.of(
                        "declared length below the length sent",
                        new Reply(Reply.http(200, otherRequestsBody, 20), false)),
                Arguments.of("malformed JSON", Reply.json(200, "{\"answerId\":")),
                Arguments.of("JSON that is not an object", Reply.json(200, "7")),
                Arguments.of("unknown error code", Reply.json(500, "{\"error\":\"fault\"}")),
                Arguments.of(
                        "no declared length",
                        new Reply("HTTP/1.1 200 OK\r\n\r\n{}".getBytes(StandardCharsets.UTF_8), true)));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("invalidResponses")
    void closesAConnectionAfterAnInvalidResponse(String name, Reply reply) throws Exception {
        server.script(request -> request.number() == 1 ? reply : Reply.ok(request.body()));
        LeasedConnection failed = leaseNow();
        assertThat(sendExpectingFailure(failed).kind()).isEqualTo(BackendException.Kind.MAYBE_SENT);
        assertThat(failed.isUsable()).isFalse();
        failed.release();
        LeasedConnection next = leaseNow();
        assertThat(send(next).resultJson()).isEqualTo("{\"n\":1}");
        assertThat(server.connectionCount()).isEqualTo(2);
    }

    @Test
    void doesNotReadExcessBytesAsTheNextResponse() throws Exception {
        server.script(request -> {
            Reply single = Reply.ok(request.body());
            String twice = new String(single.bytes(), StandardCharsets.UTF_8).repeat(2);
            return request.number() == 1
                    ? new Reply(twice.getBytes(StandardCharsets.UTF_8), false)
                    : Reply.ok(request.body(), 1, 2, "2");
        });
        LeasedConnection first = leaseNow();
        send(first);
        first.release();
        LeasedConnection second = leaseNow();
        try {
            assertThat(send(second).resultJson()).isEqualTo("2");
        } catch (ExecutionException exception) {
            assertThat(exception).hasCauseThat().isInstanceOf(BackendException.class);
            assertThat(second.isUsable()).isFalse();
        }
    }

    @Test
    void reportsARefusalAndKeepsTheConnectionOpen() throws Exception {
        server.script(request -> Reply.refusal(request.body(), 409, "wrong-term", 7));
        LeasedConnection connection = leaseNow();
        BackendException refusal = sendExpectingFailure(connection);
        assertThat(refusal.kind()).isEqualTo(BackendException.Kind.REFUSED);
        assertThat(refusal.primaryChanged()).isTrue();
        assertThat(refusal.observedTerm()).isEqualTo(7);
        assertThat(connection.isUsable()).isTrue();
    }

    @Test
    void reportsNotSentWhenTheServerIsUnreachable() throws Exception {
        server.close();
        ExecutionException exception = assertThrows(
                ExecutionException.class, () -> lease(1, SHORT_TIMEOUT).get(5, TimeUnit.SECONDS));
        assertThat(requireCause(BackendException.class, exception).kind()).isEqualTo(BackendException.Kind.NOT_SENT);
    }

    @Test
    void sendsOnlyOneRequestAtATime() throws Exception {
        server.script(request -> Reply.noResponse());
        LeasedConnection connection = leaseNow();
        CompletableFuture<BackendResponse> first = connection.send(BackendRequest.begin(1), SHORT_TIMEOUT);
        assertThat(sendExpectingFailure(connection).kind()).isEqualTo(BackendException.Kind.NOT_SENT);
        assertThrows(ExecutionException.class, () -> first.get(5, TimeUnit.SECONDS));
    }

    @Test
    void staysWithinItsShareAndServesTheQueueInOrder() throws Exception {
        LeasedConnection first = lease(1, LONG_TIMEOUT).get(5, TimeUnit.SECONDS);
        CompletableFuture<LeasedConnection> waiting = lease(1, Duration.ofSeconds(5));
        ExecutionException late = assertThrows(
                ExecutionException.class, () -> lease(1, SHORT_TIMEOUT).get(5, TimeUnit.SECONDS));
        assertThat(requireCause(RefusalException.class, late).kind()).isEqualTo(RefusalKind.DEADLINE_EXCEEDED);
        assertThat(waiting.isDone()).isFalse();
        first.release();
        waiting.get(5, TimeUnit.SECONDS).release();
        assertThat(server.connectionCount()).isEqualTo(1);
    }

    @Test
    void retiresIdleConnectionsAfterATimeoutOnAnother() throws Exception {
        LeasedConnection first = leaseNow();
        LeasedConnection second = leaseNow();
        send(first);
        send(second);
        first.release();
        server.script(request -> request.connection() <= 2 ? Reply.noResponse() : Reply.ok(request.body()));
        sendExpectingFailure(second);
        second.release();
        LeasedConnection third = leaseNow();
        assertThat(send(third).resultJson()).isEqualTo("{\"n\":1}");
        assertThat(server.connectionCount()).isEqualTo(3);
    }

    @Test
    void sendsNoCredentialOrClientHeaders() throws Exception {
        send(leaseNow());
        assertThat(server.receivedRequests().get(0).toLowerCase(java.util.Locale.ROOT))
                .doesNotContainMatch("authorization|banyanhook-session|cookie|user-agent|accept-encoding");
    }
}
