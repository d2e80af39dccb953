package org.banyanhook.daemon.configuration;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.banyanhook.daemon.duty.TaskLoop;
import org.banyanhook.daemon.platform.PlatformClient;
import org.banyanhook.daemon.platform.StoredValue;
import org.jspecify.annotations.Nullable;

/**
 * Watches the configuration key of the platform's service, with at most one open call. Runs on the thread of one task
 * loop.
 */
final class PlatformWatch {

    /** The key of the configuration document. */
    static final String CONFIGURATION_KEY = "configuration";

    private static final Logger LOGGER = LogManager.getLogger(PlatformWatch.class);
    private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration RETRY_DELAY = Duration.ofMillis(500);

    private final PlatformClient platform;
    private final TaskLoop taskLoop;
    private final Consumer<StoredValue> onValue;
    private final Runnable onAnswer;
    private volatile boolean callPending;
    private boolean failing = true;
    private long knownRevision;
    private long nextCallNanos;

    /**
     * Creates a watch that is not open.
     *
     * @param onValue receives every value, on the thread of the task loop
     * @param onAnswer runs after every answer of the platform, on the thread of the task loop
     */
    PlatformWatch(PlatformClient platform, TaskLoop taskLoop, Consumer<StoredValue> onValue, Runnable onAnswer) {
        this.platform = platform;
        this.taskLoop = taskLoop;
        this.onValue = onValue;
        this.onAnswer = onAnswer;
        this.nextCallNanos = System.nanoTime();
    }

    /** Returns whether the platform answered the last completed call. */
    boolean isAnswering() {
        return !failing;
    }

    /** Opens a watch if no call is open and the retry delay has passed. Only watchers call this method. */
    void watchIfDue(long nowNanos) {
        if (isDue(nowNanos)) {
            callPending = true;
            finishOnCompletion(platform.watch(CONFIGURATION_KEY, knownRevision, WATCH_TIMEOUT));
        }
    }

    /** Reads the value once if no call is open and the retry delay has passed. */
    void readIfDue(long nowNanos) {
        if (isDue(nowNanos)) {
            callPending = true;
            finishOnCompletion(platform.read(CONFIGURATION_KEY));
        }
    }

    private boolean isDue(long nowNanos) {
        return !callPending && nowNanos - nextCallNanos >= 0;
    }

    private void finishOnCompletion(CompletableFuture<Optional<StoredValue>> call) {
        call.whenComplete((value, problem) -> {
            boolean accepted = taskLoop.submit(() -> finish(value, problem));
            if (!accepted) {
                callPending = false;
            }
        });
    }

    private void finish(@Nullable Optional<StoredValue> value, @Nullable Throwable problem) {
        callPending = false;
        if (problem != null || value == null) {
            nextCallNanos = System.nanoTime() + RETRY_DELAY.toNanos();
            recordFailing(true);
            return;
        }
        recordFailing(false);
        if (value.isEmpty()) {
            nextCallNanos = System.nanoTime() + (knownRevision == 0 ? RETRY_DELAY.toNanos() : 0);
        }
        value.ifPresent(this::accept);
        onAnswer.run();
    }

    private void accept(StoredValue value) {
        knownRevision = Math.max(knownRevision, value.revision());
        onValue.accept(value);
    }

    private void recordFailing(boolean nowFailing) {
        if (nowFailing != failing) {
            failing = nowFailing;
            String state = nowFailing ? "no longer answers; relying on peers" : "answers";
            LOGGER.info("the platform's service {} (key {})", state, CONFIGURATION_KEY);
        }
    }
}
