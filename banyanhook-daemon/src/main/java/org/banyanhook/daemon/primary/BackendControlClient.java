package org.banyanhook.daemon.primary;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.banyanhook.core.configuration.BackendServer;
import org.banyanhook.core.primary.MemberRole;
import org.banyanhook.core.primary.MemberStatus;
import org.banyanhook.core.replication.LogPosition;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.util.component.LifeCycle;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.jspecify.annotations.Nullable;

/**
 * Makes control calls over HTTP.
 *
 * <p>A call that times out closes its connection, so the next call uses another one.
 */
public final class BackendControlClient implements BackendControl, AutoCloseable {

    private static final Logger LOGGER = LogManager.getLogger(BackendControlClient.class);
    private static final int MAXIMUM_RESPONSE_BYTES = 16 * 1024;
    private static final int MAXIMUM_THREADS = 8;
    private static final int MINIMUM_THREADS = 1;
    private static final int MAXIMUM_CONNECTIONS_PER_SERVER = 2;
    private static final long CONNECT_TIMEOUT_MILLIS = 500;
    private static final long IDLE_TIMEOUT_MILLIS = 30_000;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpClient client;

    private BackendControlClient(HttpClient client) {
        this.client = client;
    }

    /**
     * Starts a client with its own thread pool and connections.
     *
     * @return the client
     */
    public static BackendControlClient open() {
        QueuedThreadPool threads = new QueuedThreadPool(MAXIMUM_THREADS, MINIMUM_THREADS);
        threads.setName("backend-control");
        threads.setDaemon(true);
        HttpClient client = new HttpClient(new HttpClientTransportOverHTTP(1));
        client.setExecutor(threads);
        client.setMaxConnectionsPerDestination(MAXIMUM_CONNECTIONS_PER_SERVER);
        client.setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
        client.setIdleTimeout(IDLE_TIMEOUT_MILLIS);
        client.setFollowRedirects(false);
        client.setUserAgentField(null);
        LifeCycle.start(client);
        client.getContentDecoderFactories().clear();
        return new BackendControlClient(client);
    }

    @Override
    public void close() {
        try {
            client.stop();
        } catch (Exception exception) {
            LOGGER.warn("the HTTP client for control calls did not stop cleanly", exception);
        }
    }

    @Override
    public CompletableFuture<MemberStatus> status(BackendServer server, Duration timeout) {
        return send(server, newRequest(server, HttpMethod.GET, "/status"), timeout);
    }

    @Override
    public CompletableFuture<MemberStatus> fence(BackendServer server, long term, Duration timeout) {
        return post(server, "/fence", MAPPER.createObjectNode().put("term", term), timeout);
    }

    @Override
    public CompletableFuture<MemberStatus> promote(BackendServer server, long term, Duration timeout) {
        return post(server, "/promote", MAPPER.createObjectNode().put("term", term), timeout);
    }

    @Override
    public CompletableFuture<MemberStatus> follow(
            BackendServer server, long term, BackendServer primary, Duration timeout) {
        ObjectNode body = MAPPER.createObjectNode()
                .put("term", term)
                .put("primaryMember", primary.name())
                .put("primaryAddress", primary.address());
        return post(server, "/follow", body, timeout);
    }

    private CompletableFuture<MemberStatus> post(BackendServer server, String path, ObjectNode body, Duration timeout) {
        Request request = newRequest(server, HttpMethod.POST, path)
                .body(new StringRequestContent("application/json", body.toString(), UTF_8));
        return send(server, request, timeout);
    }

    private Request newRequest(BackendServer server, HttpMethod method, String path) {
        return client.newRequest("http://" + server.address()).method(method).path(path);
    }

    private static CompletableFuture<MemberStatus> send(BackendServer server, Request request, Duration timeout) {
        CompletableFuture<MemberStatus> future = new CompletableFuture<>();
        request.timeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
        request.send(new BufferingResponseListener(MAXIMUM_RESPONSE_BYTES) {
            @Override
            public void onComplete(Result result) {
                try {
                    future.complete(parseResponse(server, result, getContentAsString(UTF_8)));
                } catch (BackendControlException exception) {
                    future.completeExceptionally(exception);
                } catch (RuntimeException exception) {
                    future.completeExceptionally(malformed(server, exception));
                }
            }
        });
        return future;
    }

    private static MemberStatus parseResponse(BackendServer server, Result result, String content)
            throws BackendControlException {
        if (result.isFailed()) {
            throw new BackendControlException(
                    BackendControlException.Kind.UNREACHABLE,
                    "backend server " + server.name() + " at " + server.address() + " did not answer "
                            + result.getRequest().getPath() + ": " + result.getFailure(),
                    null);
        }
        int status = result.getResponse().getStatus();
        if (status == HttpStatus.OK_200) {
            return parseStatus(server, content);
        }
        throw new BackendControlException(
                BackendControlException.Kind.REFUSED,
                "backend server " + server.name() + " refused "
                        + result.getRequest().getPath() + " with " + status + " " + content,
                status == HttpStatus.CONFLICT_409 ? parseRefusal(server, content) : null);
    }

    private static @Nullable MemberStatus parseRefusal(BackendServer server, String content)
            throws BackendControlException {
        JsonNode node = readTree(server, content);
        JsonNode nested = node.path("status");
        if (nested.isObject()) {
            return status(server, nested);
        }
        return node.has("lastTerm") ? status(server, node) : null;
    }

    private static MemberStatus parseStatus(BackendServer server, String content) throws BackendControlException {
        return status(server, readTree(server, content));
    }

    private static JsonNode readTree(BackendServer server, String content) throws BackendControlException {
        try {
            return MAPPER.readTree(content);
        } catch (JsonProcessingException exception) {
            throw malformed(server, exception);
        }
    }

    private static MemberStatus status(BackendServer server, JsonNode node) throws BackendControlException {
        String member = node.path("member").asText();
        if (!member.equals(server.name())) {
            throw new BackendControlException(
                    BackendControlException.Kind.MALFORMED,
                    "the backend server at " + server.address() + " reports the name " + member + ", expected "
                            + server.name() + "; correct the address in the configuration",
                    null);
        }
        return new MemberStatus(
                member,
                node.required("term").asLong(),
                MemberRole.valueOf(node.required("role").asText().toUpperCase(Locale.ROOT)),
                new LogPosition(
                        node.required("lastTerm").asLong(),
                        node.required("position").asLong()),
                node.path("primaryMember").asText(""),
                node.path("activeConnections").asInt());
    }

    private static BackendControlException malformed(BackendServer server, Exception cause) {
        return new BackendControlException(
                BackendControlException.Kind.MALFORMED,
                "the response of backend server " + server.name() + " could not be parsed: " + cause.getMessage(),
                null);
    }
}
