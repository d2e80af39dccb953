package org.banyanhook.daemon.backend;

import static com.google.common.truth.Truth.assertThat;
import static java.util.Objects.requireNonNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.EOFException;
import java.lang.reflect.Proxy;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.eclipse.jetty.client.Connection;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.junit.jupiter.api.Test;

/** Guards against requests that never end, because the client reports neither a response nor a failure. */
final class BackendConnectionTest {

    /** A write that was sent while the proxy of a killed primary closed its connection got no answer at all. */
    @Test
    void requestWithoutAnyReportOfTheClientFailsAtItsTimeoutAndClosesTheConnection() throws Exception {
        AtomicBoolean closed = new AtomicBoolean();
        Connection silent = (Connection) Proxy.newProxyInstance(
                Connection.class.getClassLoader(), new Class<?>[] {Connection.class}, (proxy, method, arguments) -> {
                    if (method.getName().equals("close")) {
                        closed.set(true);
                    }
                    return method.getName().equals("isClosed") ? closed.get() : null;
                });
        BackendConnection connection = new BackendConnection(new HttpClient(), "127.0.0.1:1", silent);
        BackendRequest request = BackendRequest.statement(1, "put a b", true, null);
        CompletableFuture<BackendResponse> response = connection.send(request, Duration.ofMillis(100));
        ExecutionException failure = assertThrows(ExecutionException.class, () -> response.get(10, TimeUnit.SECONDS));
        assertThat(failure).hasCauseThat().isInstanceOf(BackendException.class);
        assertThat(BackendConnection.isResponseTimeout(requireNonNull(failure.getCause())))
                .isTrue();
        assertThat(closed.get()).isTrue();
        assertThat(connection.isUsable()).isFalse();
    }

    /** Closing the connection at the timeout reported it as lost, so that idle connections to the member were kept. */
    @Test
    void timeoutIsReportedAlthoughTheClientReportsTheClosedConnection() throws Exception {
        AtomicReference<Runnable> onClose = new AtomicReference<>(() -> {});
        Connection silent = (Connection) Proxy.newProxyInstance(
                Connection.class.getClassLoader(), new Class<?>[] {Connection.class}, (proxy, method, arguments) -> {
                    if (method.getName().equals("send")) {
                        Request request = (Request) arguments[0];
                        Response.CompleteListener listener = (Response.CompleteListener) arguments[1];
                        onClose.set(() -> listener.onComplete(new Result(request, new EOFException("closed"), null)));
                    } else if (method.getName().equals("close")) {
                        onClose.getAndSet(() -> {}).run();
                    }
                    return method.getName().equals("isClosed") ? false : null;
                });
        BackendConnection connection = new BackendConnection(new HttpClient(), "127.0.0.1:1", silent);
        CompletableFuture<BackendResponse> response =
                connection.send(BackendRequest.statement(1, "get a", false, null), Duration.ofMillis(100));
        ExecutionException failure = assertThrows(ExecutionException.class, () -> response.get(10, TimeUnit.SECONDS));
        assertThat(BackendConnection.isResponseTimeout(requireNonNull(failure.getCause())))
                .isTrue();
    }
}
