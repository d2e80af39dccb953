package org.banyanhook.daemon.duty;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import com.lmax.disruptor.EventHandler;
import com.lmax.disruptor.RingBuffer;
import com.lmax.disruptor.TimeoutBlockingWaitStrategy;
import com.lmax.disruptor.dsl.Disruptor;
import com.lmax.disruptor.dsl.ProducerType;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Runs tasks from a bounded ring buffer and a periodic tick on one thread.
 *
 * <p>All tasks and the tick run on the same thread, so state that only they access needs no locks. Submitting a task is
 * thread-safe and never blocks.
 */
public final class TaskLoop implements AutoCloseable {

    /** Default capacity of the ring buffer in tasks. */
    public static final int DEFAULT_RING_SIZE = 4096;

    private static final Logger LOGGER = LogManager.getLogger(TaskLoop.class);
    private static final long SHUTDOWN_TIMEOUT_SECONDS = 2;

    private final String name;
    private final Disruptor<TaskEvent> disruptor;
    private final RingBuffer<TaskEvent> ringBuffer;

    private TaskLoop(Builder builder) {
        this.name = builder.name;
        this.disruptor = new Disruptor<>(
                TaskEvent::new,
                builder.ringSize,
                task -> newThread(builder.name, task),
                ProducerType.MULTI,
                new TimeoutBlockingWaitStrategy(builder.tickInterval.toNanos(), TimeUnit.NANOSECONDS));
        disruptor.handleEventsWith(new TaskHandler(builder.name, builder.tick, builder.tickInterval));
        this.ringBuffer = disruptor.start();
    }

    /**
     * Creates a builder for a task loop.
     *
     * @param threadName the name of the thread
     * @return a new builder
     */
    public static Builder builder(String threadName) {
        return new Builder(threadName);
    }

    /**
     * Submits a task to the ring buffer.
     *
     * @param task the task; a runtime exception that it throws is logged
     * @return false if the ring buffer is full and the task was rejected
     */
    public boolean submit(Runnable task) {
        requireNonNull(task, "task");
        return ringBuffer.tryPublishEvent((event, sequence) -> event.task = task);
    }

    /**
     * Runs a computation on the thread of this task loop.
     *
     * @param computation the computation
     * @param <T> the type of the result
     * @return the result; the future fails with {@link IllegalStateException} if the ring buffer is full
     */
    public <T> CompletableFuture<T> call(Supplier<T> computation) {
        CompletableFuture<T> result = new CompletableFuture<>();
        boolean accepted = submit(() -> complete(result, computation));
        if (!accepted) {
            result.completeExceptionally(
                    new IllegalStateException("the ring buffer of task loop " + name + " is full; retry later"));
        }
        return result;
    }

    @Override
    public void close() {
        try {
            disruptor.shutdown(SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (com.lmax.disruptor.TimeoutException exception) {
            LOGGER.warn(
                    "task loop {} did not finish its tasks within {} s; halting it", name, SHUTDOWN_TIMEOUT_SECONDS);
            disruptor.halt();
        }
    }

    private static <T> void complete(CompletableFuture<T> result, Supplier<T> computation) {
        try {
            result.complete(computation.get());
        } catch (RuntimeException exception) {
            result.completeExceptionally(exception);
        }
    }

    private static Thread newThread(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }

    /** Builds a {@link TaskLoop}. Not thread-safe. */
    public static final class Builder {
        private static final Duration DEFAULT_TICK_INTERVAL = Duration.ofMillis(100);

        private final String name;
        private int ringSize = DEFAULT_RING_SIZE;
        private Duration tickInterval = DEFAULT_TICK_INTERVAL;
        private Runnable tick = () -> {};

        private Builder(String name) {
            this.name = requireNonNull(name, "name");
        }

        /** Sets the capacity of the ring buffer in tasks, which must be a power of two. */
        public Builder ringSize(int value) {
            checkArgument(Integer.bitCount(value) == 1, "ringSize must be a power of two, was %s", value);
            this.ringSize = value;
            return this;
        }

        /** Sets the action to run at every interval, also while tasks keep the thread busy. */
        public Builder tick(Duration interval, Runnable action) {
            checkArgument(interval.toNanos() > 0, "tick interval must be positive, was %s", interval);
            this.tickInterval = interval;
            this.tick = requireNonNull(action, "action");
            return this;
        }

        /** Creates the task loop and starts its thread. */
        public TaskLoop start() {
            return new TaskLoop(this);
        }
    }

    private static final class TaskEvent {
        private @Nullable Runnable task;
    }

    private static final class TaskHandler implements EventHandler<TaskEvent> {
        private final String name;
        private final Runnable tick;
        private final long tickIntervalNanos;
        private long lastTickNanos = System.nanoTime();

        TaskHandler(String name, Runnable tick, Duration tickInterval) {
            this.name = name;
            this.tick = tick;
            this.tickIntervalNanos = tickInterval.toNanos();
        }

        @Override
        public void onEvent(TaskEvent event, long sequence, boolean endOfBatch) {
            Runnable task = event.task;
            event.task = null;
            if (task != null) {
                runLogged(task);
            }
            tickIfDue();
        }

        @Override
        public void onTimeout(long sequence) {
            tickIfDue();
        }

        private void tickIfDue() {
            long now = System.nanoTime();
            if (now - lastTickNanos >= tickIntervalNanos) {
                lastTickNanos = now;
                runLogged(tick);
            }
        }

        private void runLogged(Runnable task) {
            try {
                task.run();
            } catch (RuntimeException exception) {
                LOGGER.error(
                        "a task of task loop {} failed; a restart of the daemon may be needed to restore its state",
                        name,
                        exception);
            }
        }
    }
}
