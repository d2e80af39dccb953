package org.banyanhook.testbed.load;

import java.util.Comparator;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.banyanhook.testbed.fleet.FleetCaller;
import org.banyanhook.testbed.http.JsonAnswer;

/** Sends requests when they are due, however late the answers are. Safe for use by several threads. */
final class LoadGenerator {

    private static final long DRAIN_MILLIS = 15_000;
    private static final long POLL_MILLIS = 20;
    private static final int SUCCESS = 200;

    private final ServicePath path;
    private final List<AccountLoad> accounts;
    private final Queue<Sample> samples = new ConcurrentLinkedQueue<>();
    private final Set<String> acknowledgedKeys = ConcurrentHashMap.newKeySet();
    private final AtomicInteger pending = new AtomicInteger();
    private final long startNanos = System.nanoTime();

    LoadGenerator(ServicePath path, List<AccountLoad> accounts) {
        this.path = path;
        this.accounts = accounts;
    }

    /** Returns the milliseconds since the load began. */
    long elapsedMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    List<Sample> samples() {
        return List.copyOf(samples);
    }

    /** Returns the idempotency keys of all acknowledged writes. */
    Set<String> acknowledgedKeys() {
        return Set.copyOf(acknowledgedKeys);
    }

    /** Sends until the given time since the load began, then waits for the answers. */
    void run(long untilMillis) throws InterruptedException {
        long untilNanos = TimeUnit.MILLISECONDS.toNanos(untilMillis);
        AccountLoad next = earliest();
        while (next.dueNanos() < untilNanos) {
            awaitDue(next.dueNanos());
            send(next);
            next.advance();
            next = earliest();
        }
        long deadline = System.currentTimeMillis() + DRAIN_MILLIS;
        while (pending.get() > 0 && System.currentTimeMillis() < deadline) {
            Thread.sleep(POLL_MILLIS);
        }
    }

    private AccountLoad earliest() {
        return accounts.stream()
                .min(Comparator.comparingLong(AccountLoad::dueNanos))
                .orElseThrow();
    }

    private void awaitDue(long dueNanos) throws InterruptedException {
        long waitNanos = startNanos + dueNanos - System.nanoTime();
        while (waitNanos > 0) {
            LockSupport.parkNanos(waitNanos);
            if (Thread.interrupted()) {
                throw new InterruptedException("the load was stopped");
            }
            waitNanos = startNanos + dueNanos - System.nanoTime();
        }
    }

    private void send(AccountLoad load) {
        boolean read = load.nextIsRead();
        boolean withinRate = load.nextIsWithinRate();
        long dueNanos = load.dueNanos();
        CallerSession session = load.nextSession();
        CallerSession.Seen seen = session.seen();
        String idempotencyKey = read ? null : session.nextIdempotencyKey();
        String statement = read ? "get " + session.key() : "add " + session.key() + " 1";
        ServicePath.Request request = new ServicePath.Request(
                load.number(), session.database(), !read, statement, seen.session(), idempotencyKey);
        pending.incrementAndGet();
        path.send(request).thenAccept(answer -> {
            record(load, session, request, seen, dueNanos, withinRate, answer);
            pending.decrementAndGet();
        });
    }

    private void record(
            AccountLoad load,
            CallerSession session,
            ServicePath.Request request,
            CallerSession.Seen seen,
            long dueNanos,
            boolean withinRate,
            JsonAnswer answer) {
        boolean succeeded = answer.status() == SUCCESS;
        long count = succeeded ? answer.body().path("result").asLong() : 0;
        if (succeeded && request.write()) {
            session.acknowledge(answer.headers().get(FleetCaller.SESSION_HEADER), count);
            acknowledgedKeys.add(load.account() + "/" + request.idempotencyKey());
        }
        samples.add(new Sample(
                load.account(),
                session.database(),
                request.write(),
                TimeUnit.NANOSECONDS.toMillis(dueNanos),
                TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNanos - dueNanos),
                answer.status(),
                answer.text("kind") + answer.text("error"),
                answer.body().path("replica").asBoolean(),
                withinRate,
                succeeded && !request.write() && count < seen.count()));
    }
}
