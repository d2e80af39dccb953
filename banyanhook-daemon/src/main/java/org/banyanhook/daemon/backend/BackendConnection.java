package org.banyanhook.daemon.backend;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.Connection;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpHeader;
import org.jspecify.annotations.Nullable;

/**
 * One connection to a backend server, with at most one request at a time.
 *
 * <p>The connection is closed after a timeout, a malformed response, a response to another request, or a response
 * without a declared length, because a later request could otherwise receive the wrong response. Safe for use by
 * several threads, though only one request can be in progress.
 */
final class BackendConnection {

    private static final int MAXIMUM_RESPONSE_BYTES = 4 * 1024 * 1024;
    private static final String JSON = "application/json";

    private final HttpClient client;
    private final String address;
    private final Connection connection;
    private final AtomicBoolean busy = new AtomicBoolean();

    BackendConnection(HttpClient client, String address, Connection connection) {
        this.client = client;
        this.address = address;
        this.connection = connection;
    }

    /** Returns whether the connection can take another request. */
    boolean isUsable() {
        return !connection.isClosed() && !busy.get();
    }

    /** Closes the connection; a request in progress fails. */
    void close() {
        connection.close();
    }

    /**
     * Sends a request and reads the complete response.
     *
     * @param request the request
     * @param timeout the maximum time until the response is complete
     * @return the response; failed with a {@link BackendException}
     */
    CompletableFuture<BackendResponse> send(BackendRequest request, Duration timeout) {
        if (!busy.compareAndSet(false, true)) {
            return CompletableFuture.failedFuture(BackendException.notSent(
                    "a request is already in progress on the connection; lease another connection", null));
        }
        String answerId = request.body() == null ? null : UUID.randomUUID().toString();
        Exchange exchange = new Exchange(answerId);
        Request outgoing = buildRequest(request, answerId)
                .timeout(Math.max(1, timeout.toMillis()), TimeUnit.MILLISECONDS)
                .onRequestBegin(started -> exchange.sendingStarted = true);
        exchange.failAfter(timeout);
        try {
            connection.send(outgoing, exchange);
        } catch (RuntimeException exception) {
            exchange.fail(exception);
        }
        return exchange.result;
    }

    /** Returns whether a request failed because of a timeout rather than a lost connection. */
    static boolean isResponseTimeout(Throwable failure) {
        return failure instanceof BackendException && failure.getCause() instanceof TimeoutException;
    }

    private Request buildRequest(BackendRequest request, @Nullable String answerId) {
        Request outgoing =
                client.newRequest("http://" + address + request.path()).method(request.method());
        ObjectNode body = request.body();
        if (body != null && answerId != null) {
            byte[] content =
                    body.deepCopy().put("answerId", answerId).toString().getBytes(StandardCharsets.UTF_8);
            outgoing.body(new BytesRequestContent(JSON, content));
        }
        return outgoing;
    }

    private final class Exchange extends BufferingResponseListener {
        private final CompletableFuture<BackendResponse> result = new CompletableFuture<>();
        private final @Nullable String answerId;
        private final AtomicBoolean ended = new AtomicBoolean();
        private volatile boolean sendingStarted;
        private volatile boolean hasDelimitedLength;

        Exchange(@Nullable String answerId) {
            super(MAXIMUM_RESPONSE_BYTES);
            this.answerId = answerId;
        }

        /**
         * Fails the request after a time unless it has ended. The client's own timeout doesn't suffice: of the requests
         * on connections that the server closes at that moment, it reports some neither as failed nor as timed out.
         */
        private void failAfter(Duration timeout) {
            CompletableFuture<Boolean> timer = new CompletableFuture<Boolean>()
                    .completeOnTimeout(true, Math.max(1, timeout.toMillis()), TimeUnit.MILLISECONDS);
            var unused = timer.thenAcceptAsync(expired -> {
                if (expired) {
                    fail(new TimeoutException("no response within " + timeout.toMillis() + " ms"));
                }
            });
            result.whenComplete((response, failure) -> timer.complete(false));
        }

        @Override
        public void onHeaders(Response response) {
            hasDelimitedLength = response.getHeaders().contains(HttpHeader.CONTENT_LENGTH)
                    || response.getHeaders().contains(HttpHeader.TRANSFER_ENCODING);
            super.onHeaders(response);
        }

        @Override
        public void onComplete(Result outcome) {
            Throwable failure = outcome.getFailure();
            if (failure != null) {
                fail(failure);
                return;
            }
            if (!hasDelimitedLength) {
                fail(new IllegalStateException(
                        "the response has neither a Content-Length nor a Transfer-Encoding header"));
                return;
            }
            parseResponse(outcome.getResponse().getStatus());
        }

        private void parseResponse(int status) {
            try {
                BackendResponse response = BackendResponseParser.parse(status, getContent(), answerId);
                if (!ended.compareAndSet(false, true)) {
                    return;
                }
                busy.set(false);
                result.complete(response);
            } catch (BackendException exception) {
                if (!ended.compareAndSet(false, true)) {
                    return;
                }
                if (exception.kind() == BackendException.Kind.REFUSED) {
                    busy.set(false);
                } else {
                    close();
                }
                result.completeExceptionally(exception);
            }
        }

        /**
         * Fails the request and closes the connection; the busy flag stays set so that it is not reused. Only the first
         * failure counts: closing makes the client report the connection as lost, which would hide a timeout.
         */
        private void fail(Throwable cause) {
            if (!ended.compareAndSet(false, true)) {
                return;
            }
            close();
            String description = cause instanceof TimeoutException
                    ? "timed out waiting for a response from "
                    : "lost the connection to ";
            result.completeExceptionally(
                    sendingStarted
                            ? BackendException.maybeSent(description + address, cause)
                            : BackendException.notSent(description + address, cause));
        }
    }
}
