package org.banyanhook.testbed.http;

import java.util.ArrayList;
import java.util.List;
import org.eclipse.jetty.io.Connection;

/** One open TCP connection of a client. Safe for use by several threads. */
public final class ClientConnection {

    private final long openedNanos = System.nanoTime();
    private final Connection connection;
    private final List<Runnable> closeActions = new ArrayList<>();
    private boolean closed;

    ClientConnection(Connection connection) {
        this.connection = connection;
    }

    /** Returns when the connection was opened, by {@link System#nanoTime()}. */
    public long openedNanos() {
        return openedNanos;
    }

    /**
     * Registers what runs when the connection closes, at once if it has.
     *
     * @param action the action, run once
     */
    public void onClose(Runnable action) {
        synchronized (this) {
            if (!closed) {
                closeActions.add(action);
                return;
            }
        }
        action.run();
    }

    /** Closes the connection at once. */
    public void close() {
        connection.getEndPoint().close();
    }

    void closed() {
        List<Runnable> actions;
        synchronized (this) {
            closed = true;
            actions = List.copyOf(closeActions);
            closeActions.clear();
        }
        actions.forEach(Runnable::run);
    }
}
