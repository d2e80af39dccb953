package org.banyanhook.daemon.primary;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * What the parts of the primary controller share.
 *
 * @param control the control calls of backend servers
 * @param loopExecutor runs tasks on the controller's thread; a task may be dropped while its ring is full
 * @param callbackExecutor runs what depends on futures handed out to other threads
 * @param nanoClock the monotonic clock
 * @param metrics the meters
 */
record ControllerContext(
        BackendControl control,
        Executor loopExecutor,
        Executor callbackExecutor,
        LongSupplier nanoClock,
        PrimaryMetrics metrics) {

    /** Returns the reading of the monotonic clock in nanoseconds. */
    long nowNanos() {
        return nanoClock.getAsLong();
    }

    /** Runs a task on the controller's thread after a delay. */
    void schedule(Duration delay, Runnable task) {
        CompletableFuture.delayedExecutor(delay.toNanos(), TimeUnit.NANOSECONDS, loopExecutor)
                .execute(task);
    }
}
