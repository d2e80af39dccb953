package org.banyanhook.testbed.backend;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.banyanhook.testbed.http.ClientConnection;

/** The connections that carried a statement, with their transactions. Safe for use by several threads. */
final class WorkConnections {

    private final int limit;
    private final Map<ClientConnection, Optional<Transaction>> connections = new ConcurrentHashMap<>();

    WorkConnections(int limit) {
        this.limit = limit;
    }

    /** Counts a connection from its first statement on; returns false if the limit is reached. */
    boolean admit(ClientConnection connection) {
        synchronized (this) {
            if (connections.containsKey(connection)) {
                return true;
            }
            if (connections.size() >= limit) {
                return false;
            }
            connections.put(connection, Optional.empty());
        }
        connection.onClose(() -> connections.remove(connection));
        return true;
    }

    int count() {
        return connections.size();
    }

    Optional<Transaction> transaction(ClientConnection connection) {
        return connections.getOrDefault(connection, Optional.empty());
    }

    void begin(ClientConnection connection, Transaction transaction) {
        connections.computeIfPresent(connection, (key, none) -> Optional.of(transaction));
    }

    void end(ClientConnection connection) {
        connections.computeIfPresent(connection, (key, open) -> Optional.empty());
    }
}
