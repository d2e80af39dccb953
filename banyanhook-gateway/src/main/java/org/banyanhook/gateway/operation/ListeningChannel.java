package org.banyanhook.gateway.operation;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** A listening port that can be closed without resetting the connections that wait in the kernel to be accepted. */
public final class ListeningChannel extends NioServerSocketChannel {

    private static final long POLL_INTERVAL_MILLIS = 1;

    /** The port is closed when no caller has connected for this many polls. */
    private static final int QUIET_POLLS = 10;

    /** The port is closed after this time even if callers go on to connect. */
    private static final long TIMEOUT_MILLIS = 200;

    private final CompletableFuture<Void> closed = new CompletableFuture<>();
    private final List<Object> connections = new ArrayList<>();
    private long deadlineNanos;
    private boolean closing;
    private int quietPolls;

    /** Creates a channel that is not bound yet. */
    public ListeningChannel() {}

    /**
     * Accepts connections until callers make a short pause, closes the port in the pause, and serves the connections
     * then. A caller who was answered before could connect again between the last call of accept and the close. Later
     * connections are refused by the kernel. Must be called on the event loop.
     *
     * @return a future that completes on the event loop when the port is closed and the connections are registered
     */
    public CompletableFuture<Void> closeAfterAccepting() {
        if (!closing) {
            closing = true;
            deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
            var unused = deregister().addListener(done -> poll());
        }
        return closed;
    }

    private void poll() {
        // The kernel keeps the port of a registered channel open, even if it is closed, until the next selection.
        quietPolls = javaChannel().isRegistered() || acceptAll() ? 0 : quietPolls + 1;
        if (quietPolls >= QUIET_POLLS || System.nanoTime() - deadlineNanos >= 0) {
            var unused = close();
            connections.forEach(pipeline()::fireChannelRead);
            closed.complete(null);
        } else {
            var unused = eventLoop().schedule(this::poll, POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private boolean acceptAll() {
        int before = connections.size();
        try {
            while (doReadMessages(connections) > 0) {
                // Each call accepts one connection.
            }
        } catch (Exception exception) {
            // Too many open files, for example: the connections wait until the next poll.
            return isOpen();
        }
        return connections.size() > before;
    }
}
