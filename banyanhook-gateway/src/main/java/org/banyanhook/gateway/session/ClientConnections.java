package org.banyanhook.gateway.session;

import io.netty.channel.Channel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.banyanhook.core.admission.ClientAdmission;
import org.banyanhook.core.admission.ClientCloseReason;
import org.banyanhook.core.admission.ClientLimits;
import org.banyanhook.core.admission.ConnectionLoad;
import org.banyanhook.gateway.operation.DecisionLog;
import org.banyanhook.gateway.operation.GatewayMetrics;
import org.banyanhook.gateway.operation.MonotonicClock;
import org.jspecify.annotations.Nullable;

/**
 * All client connections, and what they hold together. It carries out {@link ClientAdmission}. Confined to the event
 * loop.
 */
public final class ClientConnections {

    private final ClientLimits limits;
    private final ClientAdmission admission;
    private final MonotonicClock clock;
    private final DecisionLog log;
    private final GatewayMetrics metrics;
    private final Map<Long, ClientConnection> connections = new LinkedHashMap<>();
    private final Map<String, Integer> sessionsByKey = new HashMap<>();
    private long lastNumber;
    private long heldBytes;
    private long inProgressBytes;
    private boolean closing;

    /**
     * Creates a registry without connections.
     *
     * @param limits the limits
     * @param clock the monotonic clock
     * @param log the log of decisions
     * @param metrics the metrics
     */
    public ClientConnections(ClientLimits limits, MonotonicClock clock, DecisionLog log, GatewayMetrics metrics) {
        this.limits = limits;
        this.admission = new ClientAdmission(limits);
        this.clock = clock;
        this.log = log;
        this.metrics = metrics;
    }

    /** Creates a connection, which is registered when its channel is active. */
    public ClientConnection newConnection() {
        return new ClientConnection(++lastNumber, this, admission);
    }

    /**
     * Makes room for a new connection, by closing one without a session if the number is at its limit.
     *
     * @param channel the new connection
     * @return whether it may be accepted; otherwise it has to be closed
     */
    public boolean makeRoom(Channel channel) {
        if (!admission.isFull(connections.size())) {
            return true;
        }
        ClientConnection yielding =
                admission.selectToGiveWay(loads()).map(connections::get).orElse(null);
        if (yielding == null) {
            record(channel, "", 0, limits.maximumConnections(), ClientCloseReason.CONNECTIONS);
            return false;
        }
        close(yielding, limits.maximumConnections(), ClientCloseReason.CONNECTIONS);
        return true;
    }

    /** Closes connections that are too slow, if memory or connections are short. Called at intervals. */
    public void tick() {
        List<ClientConnection> all = List.copyOf(connections.values());
        all.forEach(ClientConnection::updateOutbound);
        if (!admission.isUnderPressure(totalBytes(), connections.size())) {
            return;
        }
        long now = clock.nowNanos();
        for (ClientConnection connection : all) {
            if (connections.containsKey(connection.number())) {
                admission
                        .checkProgress(connection.load(now))
                        .ifPresent(reason -> close(connection, limits.minimumBytesPerSecond(), reason));
            }
        }
    }

    /** Returns what the clients are charged for, in bytes. */
    public long totalBytes() {
        return heldBytes + inProgressBytes;
    }

    /** Returns the number of connections. */
    public int size() {
        return connections.size();
    }

    void add(ClientConnection connection) {
        connections.put(connection.number(), connection);
    }

    void remove(ClientConnection connection) {
        if (connections.remove(connection.number()) == null) {
            return;
        }
        heldBytes -= connection.heldBytes();
        inProgressBytes -= connection.chargedInProgress();
        String key = connection.openedKey();
        if (key != null) {
            sessionsByKey.computeIfPresent(key, (name, count) -> count > 1 ? count - 1 : null);
        }
    }

    /** Counts a session of a key, unless the key has too many; returns whether it may be opened. */
    boolean openSession(String key) {
        if (!admission.mayOpenSession(sessionsByKey.getOrDefault(key, 0))) {
            return false;
        }
        sessionsByKey.merge(key, 1, Integer::sum);
        return true;
    }

    /** Returns whether a request that has been charged already may run beside the others. */
    boolean mayRun(long requestBytes) {
        return admission.mayStart(requestBytes, inProgressBytes - admission.chargeInProgress(requestBytes));
    }

    void chargeInProgress(long bytes) {
        inProgressBytes += bytes;
    }

    void charge(long bytes) {
        heldBytes += bytes;
        if (bytes > 0 && !closing && admission.isOverBudget(totalBytes())) {
            // Closing writes an answer, which is charged in turn.
            closing = true;
            for (long number : admission.selectToClose(loads(), totalBytes())) {
                ClientConnection connection = connections.get(number);
                if (connection != null) {
                    close(connection, limits.memoryBytes(), ClientCloseReason.MEMORY);
                }
            }
            closing = false;
        }
    }

    long nowNanos() {
        return clock.nowNanos();
    }

    private List<ConnectionLoad> loads() {
        long now = clock.nowNanos();
        List<ConnectionLoad> loads = new ArrayList<>(connections.size());
        connections.values().forEach(connection -> loads.add(connection.load(now)));
        return loads;
    }

    private void close(ClientConnection connection, long limit, ClientCloseReason reason) {
        record(connection.channel(), connection.account(), connection.heldBytes(), limit, reason);
        connection.close(reason);
    }

    private void record(@Nullable Channel channel, String account, long bytes, long limit, ClientCloseReason reason) {
        metrics.count("clients.closed", "reason", reason.name());
        log.line("client-limit")
                .with("caller", addressOf(channel))
                .with("account", account.isEmpty() ? null : account)
                .with("reason", reason.name())
                .with("bytes", bytes)
                .with("limit", limit)
                .with("totalBytes", totalBytes())
                .with("connections", connections.size())
                .write();
    }

    private static @Nullable String addressOf(@Nullable Channel channel) {
        return channel != null && channel.remoteAddress() instanceof InetSocketAddress address
                ? address.getAddress().getHostAddress() + ":" + address.getPort()
                : null;
    }
}
