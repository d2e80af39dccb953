package org.banyanhook.daemon.primary;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The dependencies shared by the components of the primary controller.
 *
 * @param control the client for control calls to backend servers
 * @param loopExecutor runs tasks on the controller's thread; drops a task if its ring buffer is full
 * @param callbackExecutor completes futures that were returned to other threads
 * @param nanoClock the monotonic clock in nanoseconds
 * @param metrics the meters
 */
record ControllerContext(
        BackendControl control,
        Executor loopExecutor,
        Executor callbackExecutor,
        LongSupplier nanoClock,
        PrimaryMetrics metrics) {

    /** Returns the current time of the monotonic clock in nanoseconds. */
    long nowNanos() {
        return nanoClock.getAsLong();
    }

    /** Runs a task on the controller's thread after a delay. */
    void schedule(Duration delay, Runnable task) {
        CompletableFuture.delayedExecutor(delay.toNanos(), TimeUnit.NANOSECONDS, loopExecutor)
                .execute(task);
    }
}
