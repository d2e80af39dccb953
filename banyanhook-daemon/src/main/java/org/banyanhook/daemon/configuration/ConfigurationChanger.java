package org.banyanhook.daemon.configuration;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executor;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.banyanhook.core.command.ChangeAttempt;
import org.banyanhook.core.command.ChangeRequest;
import org.banyanhook.core.command.ChangeStep;
import org.banyanhook.core.configuration.FleetConfiguration;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;
import org.banyanhook.daemon.platform.PlatformClient;
import org.banyanhook.daemon.platform.PlatformException;
import org.banyanhook.daemon.platform.StoredValue;
import org.jspecify.annotations.Nullable;

/** Makes changes of the configuration in the platform's service. Safe for use by several threads; never blocks. */
public final class ConfigurationChanger {

    private static final Logger LOGGER = LogManager.getLogger(ConfigurationChanger.class);
    private static final Duration TIME_LIMIT = Duration.ofSeconds(4);
    private static final long RETRY_DELAY_MILLIS = 100;
    private static final long CONFLICT_DELAY_MILLIS = 40;

    private final PlatformClient platform;
    private final ConfigurationController controller;
    private final ConfigurationCodec codec = new ConfigurationCodec();

    /**
     * Creates a changer.
     *
     * @param platform the platform's service
     * @param controller puts accepted documents in force
     */
    public ConfigurationChanger(PlatformClient platform, ConfigurationController controller) {
        this.platform = requireNonNull(platform, "platform");
        this.controller = requireNonNull(controller, "controller");
    }

    /**
     * Makes a change.
     *
     * @param request the change
     * @return the version that it made, once it is in force on this entry VM; failed with a {@link RefusalException}
     *     that tells whether the change may have taken effect
     */
    public CompletableFuture<Long> change(ChangeRequest request) {
        RunningChange run = new RunningChange(request);
        run.take(run.attempt.begin());
        return run.result.orTimeout(2 * TIME_LIMIT.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** One change under way. Its steps follow each other, so it needs no locks. */
    private final class RunningChange {
        private final ChangeAttempt attempt;
        private final String text;
        private final long deadlineNanos = System.nanoTime() + TIME_LIMIT.toNanos();
        private final CompletableFuture<Long> result = new CompletableFuture<>();
        private @Nullable ConfigurationDocument read;
        private long readRevision;

        RunningChange(ChangeRequest request) {
            this.attempt = new ChangeAttempt(request);
            this.text = request.change().text();
        }

        void take(ChangeStep step) {
            if (step instanceof ChangeStep.Finished finished) {
                LOGGER.info("'{}' made configuration version {}", text, finished.version());
                result.complete(finished.version());
            } else if (step instanceof ChangeStep.Refused refused) {
                refuse(refused.refusal());
            } else if (System.nanoTime() - deadlineNanos >= 0) {
                refuse(attempt.onDeadline().refusal());
            } else if (step instanceof ChangeStep.Swap swap) {
                swap(swap.next());
            } else {
                platform.read(PlatformWatch.CONFIGURATION_KEY).whenComplete(this::onRead);
            }
        }

        private void refuse(RefusalException refusal) {
            LOGGER.info("'{}' refused: {}", text, refusal.getMessage());
            result.completeExceptionally(refusal);
        }

        private void onRead(@Nullable Optional<StoredValue> value, @Nullable Throwable problem) {
            if (problem != null || value == null) {
                takeLater(attempt.onReadUnanswered(), RETRY_DELAY_MILLIS);
            } else if (value.isEmpty()) {
                refuse(RefusalException.notRun(
                        RefusalKind.CONFIGURATION_INVALID,
                        "The platform holds no configuration; write the first document to key "
                                + PlatformWatch.CONFIGURATION_KEY + "."));
            } else {
                decode(value.get());
            }
        }

        private void decode(StoredValue value) {
            try {
                ConfigurationDocument document = codec.decode(value.value());
                read = document;
                readRevision = value.revision();
                ChangeStep step = attempt.onRead(
                        document.configuration(),
                        controller.current().version(),
                        controller.current().withdrawnKeyHashes());
                boolean behind = step instanceof ChangeStep.Read;
                takeLater(step, behind ? RETRY_DELAY_MILLIS : 0);
            } catch (ConfigurationFormatException exception) {
                refuse(RefusalException.notRun(RefusalKind.CONFIGURATION_INVALID, exception.getMessage() + "."));
            }
        }

        private void swap(FleetConfiguration next) {
            ConfigurationDocument written = codec.encodeChange(requireNonNull(read), next);
            platform.compareAndSwap(PlatformWatch.CONFIGURATION_KEY, written.text(), readRevision)
                    .whenComplete((revision, problem) -> onSwapped(written, problem));
        }

        private void onSwapped(ConfigurationDocument written, @Nullable Throwable problem) {
            if (problem == null) {
                controller.adopt(written).whenComplete((decision, failure) -> {
                    take(attempt.onSwapped(written.configuration()));
                });
                return;
            }
            Throwable cause = problem instanceof CompletionException wrapper ? wrapper.getCause() : problem;
            if (cause instanceof PlatformException failure && failure.kind() == PlatformException.Kind.CONFLICT) {
                long delay = ThreadLocalRandom.current().nextLong(CONFLICT_DELAY_MILLIS);
                takeLater(attempt.onSwapConflict(), delay);
            } else if (cause instanceof PlatformException failure && failure.kind() == PlatformException.Kind.REFUSED) {
                refuse(RefusalException.notRun(
                        RefusalKind.CONFIGURATION_INVALID,
                        "The platform refused the document of " + written.text().length() + " characters: "
                                + failure.getMessage() + "; make it smaller."));
            } else {
                takeLater(attempt.onSwapUnanswered(written.configuration()), RETRY_DELAY_MILLIS);
            }
        }

        private void takeLater(ChangeStep step, long delayMillis) {
            if (delayMillis == 0) {
                take(step);
                return;
            }
            Executor later = CompletableFuture.delayedExecutor(delayMillis, TimeUnit.MILLISECONDS);
            later.execute(() -> take(step));
        }
    }
}
