package org.banyanhook.daemon.configuration;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.banyanhook.daemon.duty.Duty;
import org.banyanhook.daemon.platform.PlatformClient;
import org.banyanhook.daemon.platform.StoredValue;
import org.jspecify.annotations.Nullable;

/** Keeps one watch of the configuration open while this entry VM is a watcher. Runs on the thread of one duty. */
final class PlatformWatch {

    /** The key of the configuration document. */
    static final String CONFIGURATION_KEY = "configuration";

    private static final Logger LOGGER = LogManager.getLogger(PlatformWatch.class);
    private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration RETRY_DELAY = Duration.ofMillis(500);

    private final PlatformClient platform;
    private final Duty taskLoop;
    private final Consumer<StoredValue> onValue;
    private final Runnable onAnswer;
    private volatile boolean callPending;
    private boolean failing = true;
    private long knownRevision;
    private long nextCallNanos;

    /**
     * Creates a watch that is not open.
     *
     * @param onValue receives every value, on the thread of the duty
     * @param onAnswer runs after every answer of the platform, on the thread of the duty
     */
    PlatformWatch(PlatformClient platform, Duty taskLoop, Consumer<StoredValue> onValue, Runnable onAnswer) {
        this.platform = platform;
        this.taskLoop = taskLoop;
        this.onValue = onValue;
        this.onAnswer = onAnswer;
        this.nextCallNanos = System.nanoTime();
    }

    /** Returns whether the last call was answered. */
    boolean isAnswering() {
        return !failing;
    }

    /** Opens a watch if none is open and the delay after a failure has passed. */
    void watchIfDue(long nowNanos) {
        if (isDue(nowNanos)) {
            callPending = true;
            finishOnCompletion(platform.watch(CONFIGURATION_KEY, knownRevision, WATCH_TIMEOUT));
        }
    }

    /** Reads the value once if no call is open and the delay after a failure has passed. */
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
            String state = nowFailing ? "no longer answers; peers remain the source" : "answers";
            LOGGER.info("the platform's service {} for key {}", state, CONFIGURATION_KEY);
        }
    }
}
