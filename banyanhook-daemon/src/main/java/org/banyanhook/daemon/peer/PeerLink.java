package org.banyanhook.daemon.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.handler.ssl.SslHandler;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.banyanhook.protocol.generated.PeerEnvelope;
import org.jspecify.annotations.Nullable;

/**
 * The outgoing link to one peer: uses at most one connection, opened on demand.
 *
 * <p>After a failed connection attempt, requests fail immediately until a delay has passed, which grows with each
 * failure. A connection is retired if a request on it times out and nothing was received in the meantime; later
 * requests open a new connection. The state is confined to one event loop; {@link #send} is thread-safe.
 */
final class PeerLink {

    private static final Logger LOGGER = LogManager.getLogger(PeerLink.class);
    private static final long MINIMUM_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    private static final long MAXIMUM_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final String peerAddress;
    private final InetSocketAddress socketAddress;
    private final EventLoop eventLoop;
    private final Bootstrap bootstrap;
    private final int maximumOutstandingRequests;
    private final AtomicInteger outstandingRequests = new AtomicInteger();
    private final Deque<PendingRequest> waitingForConnection = new ArrayDeque<>();
    private @Nullable PeerClientHandler currentConnection;
    private boolean connecting;
    private boolean closed;
    private long backoffNanos;
    private long nextAttemptNanos = System.nanoTime();

    PeerLink(
            String peerAddress,
            InetSocketAddress socketAddress,
            EventLoop eventLoop,
            Bootstrap bootstrap,
            int maximumOutstandingRequests) {
        this.peerAddress = peerAddress;
        this.socketAddress = socketAddress;
        this.eventLoop = eventLoop;
        this.bootstrap = bootstrap.clone(eventLoop);
        this.maximumOutstandingRequests = maximumOutstandingRequests;
    }

    /**
     * Sends a message.
     *
     * @param envelope the complete envelope; a message with correlation id 0 gets no reply, and its future does not
     *     complete unless sending fails
     * @param timeout how long to wait for the reply
     * @return the reply, as described in {@link PeerMessenger#request}
     */
    CompletableFuture<PeerEnvelope> send(PeerEnvelope envelope, Duration timeout) {
        PendingRequest request = new PendingRequest(peerAddress, envelope);
        if (outstandingRequests.incrementAndGet() > maximumOutstandingRequests) {
            outstandingRequests.decrementAndGet();
            request.fail(maximumOutstandingRequests + " messages are already outstanding");
            return request.reply();
        }
        eventLoop.execute(() -> start(request, timeout));
        return request.reply();
    }

    void close() {
        eventLoop.execute(() -> {
            closed = true;
            failWaiting("the messenger was closed");
            if (currentConnection != null) {
                currentConnection.retire();
            }
        });
    }

    private void start(PendingRequest request, Duration timeout) {
        if (request.expectsReply()) {
            var timer = eventLoop.schedule(() -> onTimeout(request, timeout), timeout.toNanos(), TimeUnit.NANOSECONDS);
            request.reply().whenComplete((reply, failure) -> timer.cancel(false));
            request.reply().whenComplete((reply, failure) -> outstandingRequests.decrementAndGet());
        }
        dispatch(request);
        if (!request.expectsReply()) {
            outstandingRequests.decrementAndGet();
        }
    }

    private void dispatch(PendingRequest request) {
        PeerClientHandler handler = currentConnection;
        if (closed) {
            request.fail("the messenger was closed");
        } else if (handler != null) {
            writeIfAccepted(handler, request);
        } else if (System.nanoTime() - nextAttemptNanos < 0) {
            request.fail("the last connection attempt failed; not tried again yet");
        } else if (waitingForConnection.size() >= maximumOutstandingRequests) {
            request.fail("too many messages are waiting for the connection");
        } else {
            waitingForConnection.add(request);
            connect();
        }
    }

    private static void writeIfAccepted(PeerClientHandler handler, PendingRequest request) {
        if (handler.acceptsRequests()) {
            handler.write(request);
        } else {
            request.fail("the connection is closed or its write buffer is full");
        }
    }

    private void onTimeout(PendingRequest request, Duration timeout) {
        if (request.reply().isDone()) {
            return;
        }
        waitingForConnection.remove(request);
        request.fail("no reply within " + timeout.toMillis() + " ms");
        PeerClientHandler connection = request.connection();
        if (connection == null) {
            return;
        }
        connection.removeOutstanding(request);
        if (connection == currentConnection && !connection.receivedSince(request.writtenNanos())) {
            LOGGER.info("retired the connection to {}: nothing received for {} ms", peerAddress, timeout.toMillis());
            currentConnection = null;
            connection.retire();
        }
    }

    private void connect() {
        if (connecting) {
            return;
        }
        connecting = true;
        ChannelFuture attempt = bootstrap.connect(socketAddress);
        attempt.addListener(connected -> {
            if (connected.isSuccess()) {
                awaitHandshake(attempt.channel());
            } else {
                onConnectionFailed(String.valueOf(connected.cause()));
            }
        });
    }

    private void awaitHandshake(Channel channel) {
        SslHandler sslHandler = channel.pipeline().get(SslHandler.class);
        if (sslHandler == null) {
            onConnectionReady(channel);
            return;
        }
        sslHandler.handshakeFuture().addListener(handshake -> {
            if (handshake.isSuccess()) {
                onConnectionReady(channel);
            } else {
                channel.close();
                onConnectionFailed("TLS handshake failed: " + handshake.cause());
            }
        });
    }

    private void onConnectionReady(Channel channel) {
        connecting = false;
        backoffNanos = 0;
        PeerClientHandler handler = channel.pipeline().get(PeerClientHandler.class);
        if (closed || handler == null) {
            channel.close();
            failWaiting("the connection was closed");
            return;
        }
        currentConnection = handler;
        channel.closeFuture().addListener(ended -> onConnectionClosed(handler));
        while (!waitingForConnection.isEmpty()) {
            writeIfAccepted(handler, waitingForConnection.remove());
        }
    }

    private void onConnectionFailed(String reason) {
        connecting = false;
        backoffNanos = Math.min(MAXIMUM_BACKOFF_NANOS, Math.max(MINIMUM_BACKOFF_NANOS, backoffNanos * 2));
        nextAttemptNanos = System.nanoTime() + backoffNanos;
        failWaiting("cannot connect: " + reason);
    }

    private void onConnectionClosed(PeerClientHandler handler) {
        if (currentConnection == handler) {
            currentConnection = null;
        }
    }

    private void failWaiting(String reason) {
        while (!waitingForConnection.isEmpty()) {
            waitingForConnection.remove().fail(reason);
        }
    }
}
