package org.banyanhook.testbed.http;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.UriCompliance;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.jspecify.annotations.Nullable;

/** An HTTP/1.1 server on 127.0.0.1 whose bodies are JSON. Safe for use by several threads. */
public final class JsonHttpServer implements AutoCloseable {

    /** The only address that servers of the testbed bind to. */
    public static final String LOOPBACK = "127.0.0.1";

    private static final Logger LOGGER = LogManager.getLogger(JsonHttpServer.class);
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int MAXIMUM_THREADS = 200;
    private static final int MINIMUM_THREADS = 4;
    private static final long IDLE_TIMEOUT_MILLIS = 600_000;

    private final Server server;
    private final ServerConnector connector;
    private final Map<Connection, ClientConnection> connections = new ConcurrentHashMap<>();

    private JsonHttpServer(String name, int port, JsonHandler handler, Consumer<String> recorder) {
        QueuedThreadPool threads = new QueuedThreadPool(MAXIMUM_THREADS, MINIMUM_THREADS);
        threads.setName(name);
        threads.setDaemon(true);
        server = new Server(threads);
        server.setStopTimeout(0);
        connector = new ServerConnector(server, 1, 1, new HttpConnectionFactory(configuration()));
        connector.setHost(LOOPBACK);
        connector.setPort(port);
        connector.setIdleTimeout(IDLE_TIMEOUT_MILLIS);
        connector.addBean(new ConnectionTracker());
        server.addConnector(connector);
        server.setHandler(new Adapter(handler, recorder));
    }

    /**
     * Starts a server.
     *
     * @param name the name of its threads
     * @param port the port, 0 for any free one
     * @param handler answers the requests
     * @param recorder receives every request as text, headers and body
     * @return the running server
     */
    public static JsonHttpServer start(String name, int port, JsonHandler handler, Consumer<String> recorder) {
        JsonHttpServer result = new JsonHttpServer(
                name, port, requireNonNull(handler, "handler"), requireNonNull(recorder, "recorder"));
        try {
            result.server.start();
        } catch (Exception exception) {
            throw new IllegalStateException("cannot start " + name + " on port " + port, exception);
        }
        return result;
    }

    /** Returns the bound IP number and port. */
    public String address() {
        return LOOPBACK + ":" + connector.getLocalPort();
    }

    /** Closes every open connection but one; null to keep none. */
    public void closeConnections(@Nullable ClientConnection kept) {
        connections.values().stream()
                .filter(connection -> !connection.equals(kept))
                .forEach(ClientConnection::close);
    }

    @Override
    public void close() {
        try {
            server.stop();
        } catch (Exception exception) {
            throw new IllegalStateException("cannot stop the server on " + address(), exception);
        }
    }

    private static HttpConfiguration configuration() {
        HttpConfiguration configuration = new HttpConfiguration();
        configuration.setSendServerVersion(false);
        configuration.setUriCompliance(
                UriCompliance.DEFAULT.with("ENCODED_SEPARATORS", UriCompliance.Violation.AMBIGUOUS_PATH_SEPARATOR));
        return configuration;
    }

    private static String describe(Request request, String body) {
        StringBuilder text = new StringBuilder();
        text.append(request.getMethod())
                .append(' ')
                .append(request.getHttpURI())
                .append('\n');
        for (HttpField field : request.getHeaders()) {
            text.append(field).append('\n');
        }
        return text.append('\n').append(body).toString();
    }

    private final class ConnectionTracker implements Connection.Listener {
        @Override
        public void onOpened(Connection connection) {
            connections.put(connection, new ClientConnection(connection));
        }

        @Override
        public void onClosed(Connection connection) {
            ClientConnection known = connections.remove(connection);
            if (known != null) {
                known.closed();
            }
        }
    }

    private final class Adapter extends Handler.Abstract {
        private final JsonHandler handler;
        private final Consumer<String> recorder;

        Adapter(JsonHandler handler, Consumer<String> recorder) {
            this.handler = handler;
            this.recorder = recorder;
        }

        @Override
        public boolean handle(Request request, Response response, Callback callback) throws Exception {
            ClientConnection connection =
                    connections.get(request.getConnectionMetaData().getConnection());
            if (connection == null) {
                callback.failed(new IllegalStateException("the connection was closed"));
                return true;
            }
            String body = Content.Source.asString(request);
            recorder.accept(describe(request, body));
            JsonRequest json = new JsonRequest(
                    request.getMethod(),
                    request.getHttpURI().getPath(),
                    Request.extractQueryParameters(request),
                    body,
                    connection);
            answer(json).whenComplete((reply, failure) -> write(reply, failure, response, callback, connection));
            return true;
        }

        private CompletableFuture<JsonReply> answer(JsonRequest request) {
            try {
                return handler.handle(request);
            } catch (MalformedRequestException exception) {
                ErrorBody body = new ErrorBody("malformed-request", null, exception.getMessage());
                return CompletableFuture.completedFuture(JsonReply.of(400, body));
            } catch (RuntimeException exception) {
                return CompletableFuture.failedFuture(exception);
            }
        }

        private void write(
                @Nullable JsonReply reply,
                @Nullable Throwable failure,
                Response response,
                Callback callback,
                ClientConnection connection) {
            if (reply == null) {
                LOGGER.error("a request failed inside the stand-in", failure);
                Response.writeError(response.getRequest(), response, callback, 500);
                return;
            }
            if (reply.status() == 0) {
                connection.close();
                callback.failed(new IllegalStateException("the answer was dropped by a fault"));
                return;
            }
            response.setStatus(reply.status());
            reply.headers().forEach(response.getHeaders()::put);
            if (reply.closesConnection()) {
                response.getHeaders().put(HttpHeader.CONNECTION, "close");
            }
            response.write(true, encode(reply, response), callback);
        }

        private static ByteBuffer encode(JsonReply reply, Response response) {
            if (reply.body() == null) {
                return ByteBuffer.allocate(0);
            }
            try {
                byte[] bytes = MAPPER.writeValueAsBytes(reply.body());
                response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
                response.getHeaders().put(HttpHeader.CONTENT_LENGTH, bytes.length);
                return ByteBuffer.wrap(bytes);
            } catch (JsonProcessingException exception) {
                throw new IllegalStateException("cannot write the reply as JSON", exception);
            }
        }
    }
}
