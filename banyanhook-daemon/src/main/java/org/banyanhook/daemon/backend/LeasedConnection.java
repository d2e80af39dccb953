package org.banyanhook.daemon.backend;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;

/** A connection to a backend server, leased to one request or transaction until it is released. */
public final class LeasedConnection {

    private final BackendConnectionPool pool;
    private final MemberPool memberPool;
    private final long id;
    private final BackendConnection connection;
    private final AtomicBoolean released = new AtomicBoolean();

    LeasedConnection(BackendConnectionPool pool, MemberPool member, long id, BackendConnection connection) {
        this.pool = pool;
        this.memberPool = member;
        this.id = id;
        this.connection = connection;
    }

    /**
     * Sends a request.
     *
     * @param request the request
     * @param timeout the maximum time until the response is complete
     * @return the complete response; failed with a {@link BackendException}
     */
    public CompletableFuture<BackendResponse> send(BackendRequest request, Duration timeout) {
        long sentNanos = pool.nowNanos();
        return connection.send(request, timeout).whenComplete((response, failure) -> {
            if (failure == null || connection.isUsable()) {
                pool.runOnTaskLoop(() -> memberPool.onAnswer(id, sentNanos, pool.nowNanos()));
            } else if (BackendConnection.isResponseTimeout(failure)) {
                pool.runOnTaskLoop(() -> memberPool.onTimeout(id, sentNanos));
            }
        });
    }

    /** Returns whether the connection can take another request. */
    public boolean isUsable() {
        return connection.isUsable();
    }

    /** Returns the connection to the pool, which closes it if it cannot be reused. Later calls have no effect. */
    public void release() {
        if (released.compareAndSet(false, true)) {
            pool.runOnTaskLoop(() -> memberPool.release(id, pool.nowNanos()));
        }
    }

    /** Closes the connection, which rolls back an open transaction, and releases the lease. */
    public void discard() {
        connection.close();
        release();
    }
}
