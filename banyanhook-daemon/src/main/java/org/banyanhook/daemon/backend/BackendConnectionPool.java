package org.banyanhook.daemon.backend;

import static java.util.Objects.requireNonNull;

import com.google.common.util.concurrent.ThreadFactoryBuilder;
import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;
import org.banyanhook.daemon.duty.ReliableTaskQueue;
import org.banyanhook.daemon.duty.TaskLoop;
import org.eclipse.jetty.client.HttpClient;

/**
 * The connections of this daemon to backend servers, each leased to one request or transaction at a time.
 *
 * <p>The state is confined to the thread of one task loop. Lease requests enter through the loop's bounded ring buffer
 * and are refused if it is full. Events of leased connections are never refused, since there are no more of them than
 * connections. Safe for use by several threads.
 */
public final class BackendConnectionPool implements AutoCloseable {

    private static final Duration TICK_INTERVAL = Duration.ofMillis(20);

    private final HttpClient client;
    private final MeterRegistry meterRegistry;
    private final Map<String, MemberPool> memberPools = new HashMap<>();
    private final ReliableTaskQueue taskQueue = new ReliableTaskQueue();
    private final ExecutorService callbackExecutor;
    private final TaskLoop taskLoop;
    private long lastConnectionId;

    /**
     * Creates a pool and starts its task loop.
     *
     * @param client a started client from {@link BackendHttpClientFactory}; the pool does not close it
     * @param meterRegistry the registry for the pool's metrics
     */
    public BackendConnectionPool(HttpClient client, MeterRegistry meterRegistry) {
        this.client = requireNonNull(client, "client");
        this.meterRegistry = requireNonNull(meterRegistry, "meterRegistry");
        this.callbackExecutor = Executors.newFixedThreadPool(
                Math.max(2, Runtime.getRuntime().availableProcessors() / 2),
                new ThreadFactoryBuilder()
                        .setNameFormat("backend-callback-%d")
                        .setDaemon(true)
                        .build());
        this.taskLoop = TaskLoop.builder("backend-connections")
                .tick(TICK_INTERVAL, this::tick)
                .start();
    }

    /**
     * Leases a connection; waits in a fair queue while all connections of this daemon's share are leased.
     *
     * @param request the lease request
     * @return the connection, which the caller must release; failed with a {@link RefusalException} if the request was
     *     refused or its deadline passed in the queue, or with a {@link BackendException} of kind {@code NOT_SENT} if
     *     the server could not be reached
     */
    public CompletableFuture<LeasedConnection> lease(LeaseRequest request) {
        CompletableFuture<LeasedConnection> result = new CompletableFuture<>();
        MemberPool.PendingLease pending = new MemberPool.PendingLease(request, result, nowNanos());
        if (!taskLoop.submit(() -> enqueue(pending))) {
            pending.refuse(RefusalKind.QUEUE_FULL, "the queue of this entry VM for connection requests is full");
        }
        return result;
    }

    @Override
    public void close() {
        runOnTaskLoop(() -> memberPools.values().forEach(MemberPool::closeAllConnections));
        taskLoop.close();
        callbackExecutor.shutdown();
    }

    long nowNanos() {
        return System.nanoTime();
    }

    long nextConnectionId() {
        return ++lastConnectionId;
    }

    /** Runs a task on the task loop; the periodic tick runs it if the ring buffer is full. */
    void runOnTaskLoop(Runnable task) {
        taskQueue.add(taskLoop, task);
    }

    void completeOnCallbackThread(CompletableFuture<LeasedConnection> result, LeasedConnection connection) {
        callbackExecutor.execute(() -> {
            if (!result.complete(connection)) {
                connection.release();
            }
        });
    }

    void recordQueueWait(String database, long waitNanos) {
        meterRegistry.timer("banyanhook.queue.wait", "database", database).record(waitNanos, TimeUnit.NANOSECONDS);
    }

    CompletableFuture<BackendConnection> connect(String address) {
        return client.resolveDestination(client.newRequest("http://" + address))
                .newConnection()
                .thenApply(connection -> new BackendConnection(client, address, connection));
    }

    private void enqueue(MemberPool.PendingLease pending) {
        taskQueue.runAll();
        String name = pending.request().member().name();
        String key = name + "@" + pending.request().member().address();
        memberPools.computeIfAbsent(key, absent -> new MemberPool(this, name)).enqueue(pending, nowNanos());
    }

    private void tick() {
        taskQueue.runAll();
        memberPools.values().forEach(memberPool -> memberPool.tick(nowNanos()));
        memberPools.values().removeIf(MemberPool::isUnused);
    }
}
