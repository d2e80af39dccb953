package org.banyanhook.daemon.caller;

import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.net.Socket;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.WeakHashMap;
import java.util.function.BooleanSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.AbstractConnectionFactory;
import org.eclipse.jetty.server.ConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.ssl.SslContextFactory;
import org.jspecify.annotations.Nullable;

/**
 * A connector that can close its port without resetting the connections that wait in the kernel to be accepted. Its
 * acceptor waits for connections with a selector, since a thread that waits in a call of accept keeps others from it.
 */
final class CallerConnector extends ServerConnector {

    private static final Logger LOGGER = LogManager.getLogger(CallerConnector.class);

    private static final int ACCEPTORS = 1;
    private static final int DEFAULT_SELECTORS = -1;
    private static final long POLL_INTERVAL_MILLIS = 1;

    /** The port is closed when no caller has connected for this many polls. */
    private static final int QUIET_POLLS = 10;

    /** Limits each step of the close, so that callers who go on to connect do not delay it. */
    private static final Duration STEP_TIMEOUT = Duration.ofMillis(500);

    private volatile @Nullable Selector acceptSelector;
    private final Object acceptLock = new Object();

    /** Connections that were accepted and are not known to the server yet. */
    private final Set<Socket> opening = Collections.synchronizedSet(Collections.newSetFromMap(new WeakHashMap<>()));

    /**
     * Creates a connector.
     *
     * @param server the server
     * @param tls the certificate to present, or null for a connector without TLS
     * @param http creates the connections
     */
    CallerConnector(Server server, SslContextFactory.@Nullable Server tls, ConnectionFactory http) {
        super(
                server,
                null,
                null,
                null,
                ACCEPTORS,
                DEFAULT_SELECTORS,
                tls == null ? new ConnectionFactory[] {http} : AbstractConnectionFactory.getFactories(tls, http));
    }

    @Override
    public void open() throws IOException {
        super.open();
        if (acceptSelector != null) {
            // The server opens its connectors before it starts them, which opens them again.
            return;
        }
        ServerSocketChannel port = (ServerSocketChannel) getTransport();
        port.configureBlocking(false);
        Selector selector = Selector.open();
        acceptSelector = selector;
        port.register(selector, SelectionKey.OP_ACCEPT);
    }

    @Override
    public void accept(int acceptor) throws IOException {
        Selector selector = requireNonNull(acceptSelector, "the port is not open");
        try {
            selector.select();
            selector.selectedKeys().clear();
        } catch (ClosedSelectorException exception) {
            return;
        }
        synchronized (acceptLock) {
            if (getTransport() instanceof ServerSocketChannel port && port.isOpen()) {
                SocketChannel connection = port.accept();
                if (connection != null) {
                    open(connection);
                }
            }
        }
    }

    /**
     * Accepts connections until callers make a short pause, closes the port in the pause, and serves the connections
     * then. A caller who was answered before could connect again between the last call of accept and the close.
     */
    @Override
    public void close() {
        if (getTransport() instanceof ServerSocketChannel port && port.isOpen()) {
            setAccepting(false);
            // The kernel keeps the port of a registered channel open, even if it is closed, until the next selection.
            closeSelector();
            List<SocketChannel> connections = new ArrayList<>();
            synchronized (acceptLock) {
                await(new QuietPeriod(port, connections));
                super.close();
            }
            connections.forEach(this::open);
            await(this::isNoneOpening);
        } else {
            closeSelector();
            super.close();
        }
    }

    @Override
    protected void configure(Socket socket) {
        opening.add(socket);
        super.configure(socket);
    }

    @Override
    protected void onEndPointOpened(EndPoint endPoint) {
        super.onEndPointOpened(endPoint);
        if (endPoint instanceof SocketChannelEndPoint connection) {
            opening.remove(connection.getChannel().socket());
        }
    }

    private boolean isNoneOpening() {
        synchronized (opening) {
            return opening.stream().allMatch(Socket::isClosed);
        }
    }

    private void open(SocketChannel connection) {
        try {
            connection.configureBlocking(false);
            configure(connection.socket());
            getSelectorManager().accept(connection);
        } catch (IOException exception) {
            LOGGER.info("a caller closed its connection at once: {}", exception.getMessage());
        }
    }

    private void closeSelector() {
        Selector selector = acceptSelector;
        if (selector == null) {
            return;
        }
        try {
            selector.close();
        } catch (IOException exception) {
            LOGGER.warn("the selector of the port for callers could not be closed", exception);
        }
    }

    private static void await(BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + STEP_TIMEOUT.toNanos();
        try {
            while (!condition.getAsBoolean() && System.nanoTime() - deadlineNanos < 0) {
                Thread.sleep(POLL_INTERVAL_MILLIS);
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /** Accepts what waits at a port with each poll; true when no caller has connected for some polls. */
    private static final class QuietPeriod implements BooleanSupplier {
        private final ServerSocketChannel port;
        private final List<SocketChannel> connections;
        private int quietPolls;

        private QuietPeriod(ServerSocketChannel port, List<SocketChannel> connections) {
            this.port = port;
            this.connections = connections;
        }

        @Override
        public boolean getAsBoolean() {
            quietPolls = acceptAll() ? 0 : quietPolls + 1;
            return quietPolls >= QUIET_POLLS;
        }

        private boolean acceptAll() {
            int before = connections.size();
            try {
                for (SocketChannel next = port.accept(); next != null; next = port.accept()) {
                    connections.add(next);
                }
            } catch (IOException exception) {
                LOGGER.debug("a connection of a caller could not be accepted, retrying", exception);
                return true;
            }
            return connections.size() > before;
        }
    }
}
