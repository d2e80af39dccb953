package org.banyanhook.daemon.caller;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.awaitility.Awaitility.await;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.banyanhook.core.key.KeyRegistry;
import org.banyanhook.daemon.backend.ScriptedBackendServer.Reply;
import org.banyanhook.daemon.execution.ExecutionFixture;
import org.banyanhook.daemon.execution.OutcomeReader;
import org.banyanhook.daemon.execution.RequestGate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards that every request that was accepted is answered before the server for callers is closed. */
class CallerDrainTest {

    private static final String PATH = "/v1/services/orders-db";
    private static final Duration ANNOUNCEMENT = Duration.ofMillis(50);
    private static final Duration TIMEOUT = Duration.ofMillis(300);
    private static final int CALLER_COUNT = 12;
    private static final int KEPT_CONNECTION_COUNT = 40;

    private final HttpClient client = HttpClient.newHttpClient();
    private final RequestGate requestGate = new RequestGate();
    private final ExecutorService callers = Executors.newCachedThreadPool();
    private volatile CompletableFuture<Void> acquired = CompletableFuture.completedFuture(null);
    private ExecutionFixture fixture;
    private CallerServer server;
    private int port;

    @BeforeEach
    void start() throws Exception {
        fixture = new ExecutionFixture();
        server = CallerServer.builder()
                .configuration(() -> fixture.configuration)
                .authenticator(key -> KeyRegistry.of(fixture.configuration).accountOf(key))
                .rateLimiter((account, wait) -> acquired)
                .statements(fixture.executor)
                .transactions(fixture.transactions)
                .outcomes(new OutcomeReader(fixture.executor))
                .requestGate(requestGate)
                .meters(fixture.meters)
                .build();
        server.start();
        port = server.port();
    }

    @AfterEach
    void stop() throws Exception {
        callers.shutdownNow();
        server.close();
        fixture.close();
    }

    private CompletableFuture<HttpResponse<String>> post(String path, String body, String idempotencyKey) {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + PATH + path))
                .version(HttpClient.Version.HTTP_1_1)
                .headers("Authorization", "Bearer " + ExecutionFixture.KEY, "Idempotency-Key", idempotencyKey)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
    }

    private static String statement(String route) {
        return "{\"route\":\"" + route + "\",\"database\":\"db\",\"statement\":\"add k 1\",\"deadlineMillis\":30000}";
    }

    private CompletableFuture<Boolean> drain() {
        CallerDrain drain = new CallerDrain(server, requestGate, fixture.transactions::openCount);
        return CompletableFuture.supplyAsync(
                () -> {
                    try {
                        return drain.run(ANNOUNCEMENT, TIMEOUT);
                    } catch (Exception exception) {
                        throw new CompletionException(exception);
                    }
                },
                callers);
    }

    private static boolean isCompleted(CompletableFuture<Boolean> drain) throws Exception {
        return drain.get(10, TimeUnit.SECONDS);
    }

    private static void assertAnswered(CompletableFuture<HttpResponse<String>> answer, String kind, String execution)
            throws Exception {
        HttpResponse<String> response = answer.get(5, TimeUnit.SECONDS);
        assertThat(response.body()).contains("\"kind\":\"" + kind + "\"");
        assertThat(response.body()).contains("\"execution\":\"" + execution + "\"");
    }

    private void awaitReceived(int count) {
        await().atMost(5, TimeUnit.SECONDS)
                .until(() -> fixture.primary.receivedRequests().size() == count);
    }

    @Test
    void writeThatOutlastsTheDrainIsAnsweredAsUnknown() throws Exception {
        fixture.primary.script(request -> Reply.noResponse());
        CompletableFuture<HttpResponse<String>> write = post("/statements", statement("append"), "k-1");
        awaitReceived(1);
        CompletableFuture<Boolean> drain = drain();
        assertAnswered(write, "outcome-unknown", "unknown");
        assertThat(isCompleted(drain)).isFalse();
    }

    @Test
    void readThatOutlastsTheDrainIsAnswered() throws Exception {
        fixture.primary.script(request -> Reply.noResponse());
        CompletableFuture<HttpResponse<String>> read = post("/statements", statement("read"), "k-1");
        awaitReceived(1);
        CompletableFuture<Boolean> drain = drain();
        assertAnswered(read, "entry-vm-draining", "unknown");
        assertThat(isCompleted(drain)).isFalse();
    }

    @Test
    void requestThatWaitsForATokenAtTheEndOfTheDrainIsAnsweredAsNotRun() throws Exception {
        acquired = new CompletableFuture<>();
        CompletableFuture<HttpResponse<String>> write = post("/statements", statement("append"), "k-1");
        await().atMost(5, TimeUnit.SECONDS).until(() -> requestGate.inProgress() == 1);
        CompletableFuture<Boolean> drain = drain();
        assertAnswered(write, "entry-vm-draining", "not-run");
        assertThat(isCompleted(drain)).isFalse();
        acquired.complete(null);
        assertThat(fixture.primary.receivedRequests()).isEmpty();
    }

    @Test
    void everyStatementOfATransactionThatGoesOnPastTheDrainIsAnswered() throws Exception {
        HttpResponse<String> begun = post("/transactions", "{\"route\":\"append\",\"database\":\"db\"}", "k-1")
                .get(5, TimeUnit.SECONDS);
        assertWithMessage(begun.body()).that(begun.statusCode()).isEqualTo(200);
        String id = begun.body().replaceAll(".*\"transactionId\":\"([^\"]+)\".*", "$1");
        Map<String, Integer> outcomes = new ConcurrentHashMap<>();
        CompletableFuture<Void> caller = CompletableFuture.runAsync(
                () -> sendUntilRefused(
                        PATH + "/transactions/" + id + "/statements", "{\"statement\":\"add k 1\"}", outcomes),
                callers);
        await().atMost(5, TimeUnit.SECONDS).until(() -> outcomes.getOrDefault("200", 0) > 20);
        CompletableFuture<Boolean> drain = drain();
        caller.get(5, TimeUnit.SECONDS);
        assertThat(isCompleted(drain)).isFalse();
        assertThat(outcomes.keySet()).containsNoneOf("cut", "silent");
    }

    @Test
    void callersWhoConnectUntilThePortIsClosedAreAllAnswered() throws Exception {
        Map<String, Integer> outcomes = new ConcurrentHashMap<>();
        List<CompletableFuture<Void>> running = new ArrayList<>();
        for (int caller = 0; caller < CALLER_COUNT; caller++) {
            running.add(CompletableFuture.runAsync(
                    () -> sendUntilRefused(PATH + "/statements", statement("read"), outcomes), callers));
        }
        await().atMost(5, TimeUnit.SECONDS).until(() -> outcomes.getOrDefault("200", 0) > 50);
        CompletableFuture<Boolean> drain = drain();
        for (CompletableFuture<Void> caller : running) {
            caller.get(10, TimeUnit.SECONDS);
        }
        assertThat(drain.get(10, TimeUnit.SECONDS)).isNotNull();
        assertThat(outcomes.keySet()).containsAtLeast("200", "503");
        assertThat(outcomes.keySet()).containsNoneOf("cut", "silent");
    }

    @Test
    void callersOnKeptConnectionsAreAllAnswered() throws Exception {
        Map<String, Integer> outcomes = new ConcurrentHashMap<>();
        List<CompletableFuture<Void>> running = new ArrayList<>();
        List<Socket> sockets = new ArrayList<>();
        for (int caller = 0; caller < KEPT_CONNECTION_COUNT; caller++) {
            Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
            sockets.add(socket);
            outcomes.merge("first " + exchange(socket, PATH + "/statements", statement("read")), 1, Integer::sum);
            long pauseMillis = ANNOUNCEMENT.toMillis() + caller;
            running.add(CompletableFuture.runAsync(
                    () -> {
                        try {
                            Thread.sleep(pauseMillis);
                        } catch (InterruptedException exception) {
                            return;
                        }
                        outcomes.merge(exchange(socket, PATH + "/statements", statement("read")), 1, Integer::sum);
                    },
                    callers));
        }
        CompletableFuture<Boolean> drain = drain();
        for (CompletableFuture<Void> caller : running) {
            caller.get(10, TimeUnit.SECONDS);
        }
        assertThat(isCompleted(drain)).isTrue();
        assertThat(outcomes.keySet()).containsNoneOf("cut", "silent");
    }

    private void sendUntilRefused(String path, String body, Map<String, Integer> outcomes) {
        while (true) {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                outcomes.merge(exchange(socket, path, body), 1, Integer::sum);
            } catch (ConnectException exception) {
                return;
            } catch (IOException exception) {
                outcomes.merge("cut", 1, Integer::sum);
            }
        }
    }

    /** Sends a request and returns the status of its answer, or how the connection ended without one. */
    private static String exchange(Socket socket, String path, String body) {
        String head = "POST " + path + " HTTP/1.1\r\nHost: vm\r\nAuthorization: Bearer " + ExecutionFixture.KEY
                + "\r\nContent-Length: " + body.length() + "\r\n\r\n";
        try {
            socket.setSoTimeout(5_000);
            socket.getOutputStream().write((head + body).getBytes(StandardCharsets.UTF_8));
            BufferedReader input =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
            String status = input.readLine();
            if (status == null) {
                return "cut";
            }
            int length = 0;
            for (String line = input.readLine(); line != null && !line.isEmpty(); line = input.readLine()) {
                if (line.startsWith("Content-Length: ")) {
                    length = Integer.parseInt(line.substring("Content-Length: ".length()));
                }
            }
            char[] content = new char[length];
            int read = 0;
            while (read < length) {
                int count = input.read(content, read, length - read);
                if (count < 0) {
                    return "cut";
                }
                read += count;
            }
            return status.split(" ")[1];
        } catch (SocketTimeoutException exception) {
            return "silent";
        } catch (IOException exception) {
            return "cut";
        }
    }
}
