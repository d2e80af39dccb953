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
 * <p>Any doubt about the connection closes it: a timeout, a broken or foreign answer, or one whose end cannot be told.
 * Safe for use by several threads, though only one may have a request on it.
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

    /** Closes the connection; a request on it fails. */
    void close() {
        connection.close();
    }

    /**
     * Sends a request and reads its whole answer.
     *
     * @param request the request
     * @param timeout how long the answer may take
     * @return the answer; failed with a {@link BackendException}
     */
    CompletableFuture<BackendResponse> send(BackendRequest request, Duration timeout) {
        if (!busy.compareAndSet(false, true)) {
            return CompletableFuture.failedFuture(
                    BackendException.notSent("the connection has a request already; lease another one", null));
        }
        String answerId = request.body() == null ? null : UUID.randomUUID().toString();
        Exchange exchange = new Exchange(answerId);
        Request outgoing = buildRequest(request, answerId)
                .timeout(Math.max(1, timeout.toMillis()), TimeUnit.MILLISECONDS)
                .onRequestBegin(begun -> exchange.sendingStarted = true);
        try {
            connection.send(outgoing, exchange);
        } catch (RuntimeException exception) {
            exchange.fail(exception);
        }
        return exchange.result;
    }

    /** Returns whether a failed request got no answer in time, although its connection stayed open. */
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
        private volatile boolean sendingStarted;
        private volatile boolean hasDelimitedLength;

        Exchange(@Nullable String answerId) {
            super(MAXIMUM_RESPONSE_BYTES);
            this.answerId = answerId;
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
                fail(new IllegalStateException("the answer does not tell its length"));
                return;
            }
            parseResponse(outcome.getResponse().getStatus());
        }

        private void parseResponse(int status) {
            try {
                BackendResponse answer = BackendResponseParser.parse(status, getContent(), answerId);
                busy.set(false);
                result.complete(answer);
            } catch (BackendException exception) {
                if (exception.kind() == BackendException.Kind.REFUSED) {
                    busy.set(false);
                } else {
                    close();
                }
                result.completeExceptionally(exception);
            }
        }

        /** Leaves the connection busy for good, so that it is never used again. */
        private void fail(Throwable cause) {
            close();
            String description =
                    cause instanceof TimeoutException ? "no answer in time from " : "lost the connection to ";
            result.completeExceptionally(
                    sendingStarted
                            ? BackendException.maybeSent(description + address, cause)
                            : BackendException.notSent(description + address, cause));
        }
    }
}
