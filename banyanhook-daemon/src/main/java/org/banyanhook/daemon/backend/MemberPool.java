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
import org.banyanhook.core.connection.ConnectionLedger;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;

/** The connections to one backend server and the queue for them. Runs on the pool's duty thread only. */
final class MemberPool {

    /** How long a connection may be idle and still be leased, in nanoseconds. */
    static final long MAXIMUM_IDLE_NANOS = Duration.ofSeconds(10).toNanos();

    private static final int QUEUE_CAPACITY = 512;
    private static final int ACCOUNT_CAPACITY = 256;
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final BackendConnectionPool pool;
    private final String name;
    private final ConnectionLedger ledger = new ConnectionLedger();
    private final Map<Long, BackendConnection> connections = new HashMap<>();
    private final Set<Long> leased = new HashSet<>();
    private final FairQueue<PendingLease> queue = new FairQueue<>(QUEUE_CAPACITY, ACCOUNT_CAPACITY);
    private int share = 1;

    MemberPool(BackendConnectionPool pool, String name) {
        this.pool = pool;
        this.name = name;
    }

    /** A request for a connection that waits its turn. */
    record PendingLease(LeaseRequest request, CompletableFuture<LeasedConnection> result, long sinceNanos) {
        void refuse(RefusalKind kind, String detail) {
            result.completeExceptionally(RefusalException.builder(kind)
                    .detail(detail)
                    .retryAfter(RETRY_AFTER)
                    .build());
        }
    }

    void offer(PendingLease waiter, long nowNanos) {
        LeaseRequest request = waiter.request();
        share = request.share();
        AdmissionDecision<PendingLease> decision =
                queue.offer(request.account(), request.weight(), waiter, request.deadlineNanos(), nowNanos);
        if (!decision.queued()) {
            refuseOffer(waiter, decision.reason());
        }
        decision.displaced().ifPresent(displaced -> refuseOffer(displaced, decision.reason()));
        serve(nowNanos);
    }

    void answered(long id, long sentNanos, long nowNanos) {
        if (connections.containsKey(id)) {
            closeAll(ledger.answered(id, sentNanos, nowNanos));
        }
    }

    void silent(long id, long sentNanos) {
        if (connections.containsKey(id)) {
            List<Long> retired = ledger.silent(id, sentNanos);
            connections.remove(id);
            closeAll(retired);
        }
    }

    void release(long id, long nowNanos) {
        leased.remove(id);
        BackendConnection connection = connections.get(id);
        if (connection != null && !(connection.isUsable() && ledger.giveBack(id))) {
            close(id);
        }
        serve(nowNanos);
    }

    void tick(long nowNanos) {
        for (PendingLease waiter : queue.removeExpired(nowNanos)) {
            waiter.refuse(RefusalKind.DEADLINE_EXCEEDED, "no connection to " + name + " was free in time");
        }
        closeAll(ledger.retireUnusable(nowNanos, MAXIMUM_IDLE_NANOS));
        serve(nowNanos);
    }

    boolean isUnused() {
        return connections.isEmpty() && leased.isEmpty() && queue.size() == 0;
    }

    void closeAllConnections() {
        closeAll(new ArrayList<>(connections.keySet()));
    }

    private void refuseOffer(PendingLease waiter, AdmissionDecision.Reason reason) {
        if (reason == AdmissionDecision.Reason.DEADLINE_PASSED) {
            waiter.refuse(RefusalKind.DEADLINE_EXCEEDED, "the deadline passed before the request was queued");
        } else {
            waiter.refuse(RefusalKind.QUEUE_FULL, "the queue for " + name + " is full: " + reason);
        }
    }

    private void serve(long nowNanos) {
        while (leased.size() < share) {
            Optional<PendingLease> next = queue.poll(nowNanos);
            if (next.isEmpty()) {
                return;
            }
            serve(next.get(), nowNanos);
        }
    }

    private void serve(PendingLease waiter, long nowNanos) {
        pool.recordWait(waiter.request().database(), nowNanos - waiter.sinceNanos());
        OptionalLong idle = waiter.request().fresh() ? OptionalLong.empty() : leaseIdle(nowNanos);
        if (idle.isPresent()) {
            hand(idle.getAsLong(), waiter);
        } else {
            makeRoom();
            open(waiter, nowNanos);
        }
    }

    private OptionalLong leaseIdle(long nowNanos) {
        OptionalLong idle = ledger.lease(nowNanos, MAXIMUM_IDLE_NANOS);
        while (idle.isPresent() && !isUsable(idle.getAsLong())) {
            close(idle.getAsLong());
            idle = ledger.lease(nowNanos, MAXIMUM_IDLE_NANOS);
        }
        return idle;
    }

    private boolean isUsable(long id) {
        BackendConnection connection = connections.get(id);
        return connection != null && connection.isUsable();
    }

    /** Keeps the number of open connections within the share, also when a fresh one is asked for. */
    private void makeRoom() {
        if (ledger.size() >= share) {
            connections.keySet().stream()
                    .filter(id -> !leased.contains(id))
                    .findFirst()
                    .ifPresent(this::close);
        }
    }

    private void open(PendingLease waiter, long nowNanos) {
        long id = pool.nextConnectionId();
        ledger.add(id, nowNanos);
        leased.add(id);
        pool.open(waiter.request().member().address())
                .whenComplete((connection, failure) -> pool.onDuty(() -> {
                    if (failure == null) {
                        connections.put(id, connection);
                        hand(id, waiter);
                    } else {
                        ledger.remove(id);
                        leased.remove(id);
                        waiter.result()
                                .completeExceptionally(
                                        BackendException.notSent("could not connect to " + name, failure));
                        serve(pool.nowNanos());
                    }
                }));
    }

    private void hand(long id, PendingLease waiter) {
        leased.add(id);
        BackendConnection connection = connections.get(id);
        if (connection == null) {
            throw new IllegalStateException("connection " + id + " to " + name + " is not open");
        }
        pool.complete(waiter.result(), new LeasedConnection(pool, this, id, connection));
    }

    private void closeAll(List<Long> ids) {
        ids.forEach(this::close);
    }

    private void close(long id) {
        ledger.remove(id);
        BackendConnection connection = connections.remove(id);
        if (connection != null) {
            connection.close();
        }
    }
}
