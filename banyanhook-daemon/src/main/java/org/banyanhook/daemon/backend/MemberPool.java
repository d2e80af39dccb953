package org.banyanhook.daemon.backend;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.banyanhook.core.admission.AdmissionDecision;
import org.banyanhook.core.admission.FairQueue;
import org.banyanhook.core.connection.ConnectionRegistry;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;

/** The connections to one backend server and the queue of lease requests. Confined to the pool's task loop. */
final class MemberPool {

    /** The maximum time that a connection may be idle and still be leased, in nanoseconds. */
    static final long MAXIMUM_IDLE_NANOS = Duration.ofSeconds(10).toNanos();

    private static final int MAXIMUM_QUEUED_REQUESTS = 512;
    private static final int MAXIMUM_QUEUED_REQUESTS_PER_ACCOUNT = 256;
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final BackendConnectionPool pool;
    private final String memberName;
    private final ConnectionRegistry registry = new ConnectionRegistry();
    private final Map<Long, BackendConnection> openConnections = new HashMap<>();
    private final Set<Long> leasedIds = new HashSet<>();
    private final FairQueue<PendingLease> queue =
            new FairQueue<>(MAXIMUM_QUEUED_REQUESTS, MAXIMUM_QUEUED_REQUESTS_PER_ACCOUNT);
    private int connectionShare = 1;

    MemberPool(BackendConnectionPool pool, String memberName) {
        this.pool = pool;
        this.memberName = memberName;
    }

    /** A lease request in the queue. */
    record PendingLease(LeaseRequest request, CompletableFuture<LeasedConnection> result, long enqueuedNanos) {
        void refuse(RefusalKind kind, String detail) {
            result.completeExceptionally(RefusalException.builder(kind)
                    .detail(detail)
                    .retryAfter(RETRY_AFTER)
                    .build());
        }
    }

    void enqueue(PendingLease pending, long nowNanos) {
        LeaseRequest request = pending.request();
        connectionShare = request.share();
        AdmissionDecision<PendingLease> decision =
                queue.offer(request.account(), request.weight(), pending, request.deadlineNanos(), nowNanos);
        if (!decision.isQueued()) {
            refuse(pending, decision.reason());
        }
        decision.displaced().ifPresent(displaced -> refuse(displaced, decision.reason()));
        serve(nowNanos);
    }

    void onAnswer(long id, long sentNanos, long nowNanos) {
        if (openConnections.containsKey(id)) {
            closeConnections(registry.onAnswer(id, sentNanos, nowNanos));
        }
    }

    void onTimeout(long id, long sentNanos) {
        if (openConnections.containsKey(id)) {
            List<Long> retiredIds = registry.onTimeout(id, sentNanos);
            openConnections.remove(id);
            closeConnections(retiredIds);
        }
    }

    void release(long id, long nowNanos) {
        leasedIds.remove(id);
        BackendConnection connection = openConnections.get(id);
        if (connection != null && !(connection.isUsable() && registry.release(id))) {
            close(id);
        }
        serve(nowNanos);
    }

    void tick(long nowNanos) {
        for (PendingLease expired : queue.removeExpired(nowNanos)) {
            expired.refuse(
                    RefusalKind.DEADLINE_EXCEEDED,
                    "no connection to " + memberName + " became free before the deadline");
        }
        closeConnections(registry.retireUnusable(nowNanos, MAXIMUM_IDLE_NANOS));
        serve(nowNanos);
    }

    boolean isUnused() {
        return openConnections.isEmpty() && leasedIds.isEmpty() && queue.size() == 0;
    }

    void closeAllConnections() {
        closeConnections(new ArrayList<>(openConnections.keySet()));
    }

    private void refuse(PendingLease pending, AdmissionDecision.Reason reason) {
        if (reason == AdmissionDecision.Reason.DEADLINE_PASSED) {
            pending.refuse(RefusalKind.DEADLINE_EXCEEDED, "the deadline passed before the request was queued");
        } else {
            pending.refuse(RefusalKind.QUEUE_FULL, "the queue for " + memberName + " is full: " + reason);
        }
    }

    private void serve(long nowNanos) {
        while (leasedIds.size() < connectionShare) {
            Optional<PendingLease> next = queue.poll(nowNanos);
            if (next.isEmpty()) {
                return;
            }
            serve(next.get(), nowNanos);
        }
    }

    private void serve(PendingLease pending, long nowNanos) {
        pool.recordQueueWait(pending.request().database(), nowNanos - pending.enqueuedNanos());
        OptionalLong idle = pending.request().newConnection() ? OptionalLong.empty() : leaseIdleConnection(nowNanos);
        if (idle.isPresent()) {
            completeLease(idle.getAsLong(), pending);
        } else {
            closeExcessConnection();
            openConnection(pending, nowNanos);
        }
    }

    private OptionalLong leaseIdleConnection(long nowNanos) {
        OptionalLong idle = registry.lease(nowNanos, MAXIMUM_IDLE_NANOS);
        while (idle.isPresent() && !isUsable(idle.getAsLong())) {
            close(idle.getAsLong());
            idle = registry.lease(nowNanos, MAXIMUM_IDLE_NANOS);
        }
        return idle;
    }

    private boolean isUsable(long id) {
        BackendConnection connection = openConnections.get(id);
        return connection != null && connection.isUsable();
    }

    /** Closes an idle connection if the share is reached, so that a new connection does not exceed it. */
    private void closeExcessConnection() {
        if (registry.size() >= connectionShare) {
            openConnections.keySet().stream()
                    .filter(id -> !leasedIds.contains(id))
                    .findFirst()
                    .ifPresent(this::close);
        }
    }

    private void openConnection(PendingLease pending, long nowNanos) {
        long id = pool.nextConnectionId();
        registry.add(id, nowNanos);
        leasedIds.add(id);
        pool.connect(pending.request().member().address())
                .whenComplete((connection, failure) -> pool.runOnTaskLoop(() -> {
                    if (failure == null) {
                        openConnections.put(id, connection);
                        completeLease(id, pending);
                    } else {
                        registry.remove(id);
                        leasedIds.remove(id);
                        pending.result()
                                .completeExceptionally(
                                        BackendException.notSent("could not connect to " + memberName, failure));
                        serve(pool.nowNanos());
                    }
                }));
    }

    private void completeLease(long id, PendingLease pending) {
        leasedIds.add(id);
        BackendConnection connection = openConnections.get(id);
        if (connection == null) {
            throw new IllegalStateException("connection " + id + " to " + memberName + " is not open");
        }
        pool.completeOnCallbackThread(pending.result(), new LeasedConnection(pool, this, id, connection));
    }

    private void closeConnections(List<Long> ids) {
        ids.forEach(this::close);
    }

    private void close(long id) {
        registry.remove(id);
        BackendConnection connection = openConnections.remove(id);
        if (connection != null) {
            connection.close();
        }
    }
}
