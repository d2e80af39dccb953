package org.banyanhook.testbed.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.Connection;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.jspecify.annotations.Nullable;

/** An HTTP/1.1 client whose bodies are JSON. It repeats no request. Safe for use by several threads. */
public final class JsonClient implements AutoCloseable {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(30);
    private static final int MAXIMUM_CONNECTIONS = 4096;
    private static final int MAXIMUM_ANSWER_BYTES = 64 << 20;
    private static final int MAXIMUM_HEADER_BYTES = 256 << 10;

    private final HttpClient client;

    /** Starts a client. */
    public JsonClient() {
        ClientConnector connector = new ClientConnector();
        connector.setSelectors(1);
        client = new HttpClient(new HttpClientTransportOverHTTP(connector));
        QueuedThreadPool threads = new QueuedThreadPool();
        threads.setName("json-client");
        threads.setDaemon(true);
        client.setExecutor(threads);
        client.setMaxConnectionsPerDestination(MAXIMUM_CONNECTIONS);
        client.setMaxRequestsQueuedPerDestination(MAXIMUM_CONNECTIONS);
        client.setMaxRequestHeadersSize(MAXIMUM_HEADER_BYTES);
        client.setFollowRedirects(false);
        try {
            client.start();
        } catch (Exception exception) {
            throw new IllegalStateException("cannot start the client", exception);
        }
    }

    /**
     * Sends a request on any connection.
     *
     * @param address the IP number and port
     * @param method the method
     * @param path the path and query, encoded
     * @param body a value that Jackson writes as JSON, a text sent as it is, or null for none
     * @param headers further headers
     * @return the answer; failed if none came within 30 s
     */
    public CompletableFuture<JsonAnswer> call(
            String address, String method, String path, @Nullable Object body, Map<String, String> headers) {
        Request request = request(address, method, path, body, headers);
        CompletableFuture<JsonAnswer> answer = new CompletableFuture<>();
        request.send(new AnswerListener(answer));
        return answer;
    }

    /**
     * Sends a request without further headers on any connection and waits for the answer.
     *
     * @param address the IP number and port
     * @param method the method
     * @param path the path and query, encoded
     * @param body a value that Jackson writes as JSON, or null for none
     * @return the answer
     */
    public JsonAnswer await(String address, String method, String path, @Nullable Object body) {
        return call(address, method, path, body, Map.of()).join();
    }

    /**
     * Opens a connection of its own.
     *
     * @param address the IP number and port
     * @return the connection; close it to close the TCP connection
     */
    public SingleConnection connect(String address) {
        Request request = client.newRequest("http://" + address);
        Connection connection =
                client.resolveDestination(request).newConnection().join();
        return new SingleConnection(address, connection);
    }

    @Override
    public void close() {
        try {
            client.stop();
        } catch (Exception exception) {
            throw new IllegalStateException("cannot stop the client", exception);
        }
    }

    private Request request(
            String address, String method, String path, @Nullable Object body, Map<String, String> headers) {
        Request request = client.newRequest("http://" + address + path)
                .method(method)
                .timeout(DEFAULT_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                .headers(fields -> headers.forEach(fields::put));
        if (body != null) {
            request.body(new StringRequestContent("application/json", encode(body), StandardCharsets.UTF_8));
        }
        return request;
    }

    private static String encode(Object body) {
        if (body instanceof String text) {
            return text;
        }
        try {
            return MAPPER.writeValueAsString(body);
        } catch (JsonProcessingException exception) {
            throw new IllegalArgumentException("cannot write the body as JSON", exception);
        }
    }

    /** One TCP connection. Send one request at a time. */
    public final class SingleConnection implements AutoCloseable {
        private final String address;
        private final Connection connection;

        private SingleConnection(String address, Connection connection) {
            this.address = address;
            this.connection = connection;
        }

        /** Sends a request on this connection; the answer fails if none came within 30 s. */
        public CompletableFuture<JsonAnswer> call(String method, String path, @Nullable Object body) {
            CompletableFuture<JsonAnswer> answer = new CompletableFuture<>();
            connection.send(request(address, method, path, body, Map.of()), new AnswerListener(answer));
            return answer;
        }

        /** Sends a request on this connection and waits for the answer. */
        public JsonAnswer await(String method, String path, @Nullable Object body) {
            return call(method, path, body).join();
        }

        @Override
        public void close() {
            connection.close();
        }
    }

    private static final class AnswerListener extends BufferingResponseListener {
        private final CompletableFuture<JsonAnswer> answer;

        AnswerListener(CompletableFuture<JsonAnswer> answer) {
            super(MAXIMUM_ANSWER_BYTES);
            this.answer = answer;
        }

        @Override
        public void onComplete(Result result) {
            Throwable failure = result.getFailure();
            if (failure != null) {
                answer.completeExceptionally(failure);
                return;
            }
            try {
                answer.complete(decode(result.getResponse(), getContentAsString(StandardCharsets.UTF_8)));
            } catch (JsonProcessingException exception) {
                answer.completeExceptionally(exception);
            }
        }

        private static JsonAnswer decode(Response response, @Nullable String text) throws JsonProcessingException {
            Map<String, String> headers = new HashMap<>();
            response.getHeaders()
                    .forEach(field -> headers.put(field.getName().toLowerCase(Locale.ROOT), field.getValue()));
            boolean json = headers.getOrDefault("content-type", "").contains("json");
            JsonNode body = json && text != null ? MAPPER.readTree(text) : MissingNode.getInstance();
            return new JsonAnswer(response.getStatus(), body, headers);
        }
    }
}
