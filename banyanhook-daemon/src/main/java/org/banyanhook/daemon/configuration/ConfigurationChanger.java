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

/** Applies changes to the configuration in the platform's service. Safe for use by several threads; never blocks. */
public final class ConfigurationChanger {

    private static final Logger LOGGER = LogManager.getLogger(ConfigurationChanger.class);
    private static final Duration CHANGE_TIMEOUT = Duration.ofSeconds(4);
    private static final long RETRY_DELAY_MILLIS = 100;
    private static final long MAXIMUM_CONFLICT_DELAY_MILLIS = 40;

    private final PlatformClient platform;
    private final ConfigurationController controller;
    private final ConfigurationCodec codec = new ConfigurationCodec();

    /**
     * Creates a changer.
     *
     * @param platform the client of the platform's service
     * @param controller adopts accepted documents
     */
    public ConfigurationChanger(PlatformClient platform, ConfigurationController controller) {
        this.platform = requireNonNull(platform, "platform");
        this.controller = requireNonNull(controller, "controller");
    }

    /**
     * Applies a change.
     *
     * @param request the change
     * @return the version that it created, once it is in effect on this entry VM; failed with a
     *     {@link RefusalException} that states whether the change may have taken effect
     */
    public CompletableFuture<Long> change(ChangeRequest request) {
        RunningChange runningChange = new RunningChange(request);
        runningChange.execute(runningChange.attempt.begin());
        return runningChange.result.orTimeout(2 * CHANGE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** A change in progress. Its steps run one after the other, so it needs no locks. */
    private final class RunningChange {
        private final ChangeAttempt attempt;
        private final String changeText;
        private final long deadlineNanos = System.nanoTime() + CHANGE_TIMEOUT.toNanos();
        private final CompletableFuture<Long> result = new CompletableFuture<>();
        private @Nullable ConfigurationDocument readDocument;
        private long readRevision;

        RunningChange(ChangeRequest request) {
            this.attempt = new ChangeAttempt(request);
            this.changeText = request.change().text();
        }

        void execute(ChangeStep step) {
            if (step instanceof ChangeStep.Finished finished) {
                LOGGER.info("change '{}' created configuration version {}", changeText, finished.version());
                result.complete(finished.version());
            } else if (step instanceof ChangeStep.Refused refused) {
                refuse(refused.refusal());
            } else if (System.nanoTime() - deadlineNanos >= 0) {
                refuse(attempt.onDeadline().refusal());
            } else if (step instanceof ChangeStep.Swap swap) {
                swap(swap.replacement());
            } else {
                platform.read(PlatformWatch.CONFIGURATION_KEY).whenComplete(this::onRead);
            }
        }

        private void refuse(RefusalException refusal) {
            LOGGER.info("change '{}' refused: {}", changeText, refusal.getMessage());
            result.completeExceptionally(refusal);
        }

        private void onRead(@Nullable Optional<StoredValue> value, @Nullable Throwable problem) {
            if (problem != null || value == null) {
                executeAfter(attempt.onReadUnanswered(), RETRY_DELAY_MILLIS);
            } else if (value.isEmpty()) {
                refuse(RefusalException.notRun(
                        RefusalKind.CONFIGURATION_INVALID,
                        "The platform has no configuration document; write the first one to key "
                                + PlatformWatch.CONFIGURATION_KEY + "."));
            } else {
                onValueRead(value.get());
            }
        }

        private void onValueRead(StoredValue value) {
            try {
                ConfigurationDocument document = codec.decode(value.value());
                readDocument = document;
                readRevision = value.revision();
                ChangeStep step = attempt.onRead(
                        document.configuration(),
                        controller.current().version(),
                        controller.current().withdrawnKeyHashes());
                boolean readsAgain = step instanceof ChangeStep.Read;
                executeAfter(step, readsAgain ? RETRY_DELAY_MILLIS : 0);
            } catch (ConfigurationFormatException exception) {
                refuse(RefusalException.notRun(RefusalKind.CONFIGURATION_INVALID, exception.getMessage() + "."));
            }
        }

        private void swap(FleetConfiguration next) {
            ConfigurationDocument written = codec.encodeChange(requireNonNull(readDocument), next);
            platform.compareAndSwap(PlatformWatch.CONFIGURATION_KEY, written.text(), readRevision)
                    .whenComplete((revision, problem) -> onSwapped(written, problem));
        }

        private void onSwapped(ConfigurationDocument written, @Nullable Throwable problem) {
            if (problem == null) {
                controller.adopt(written).whenComplete((decision, failure) -> {
                    execute(attempt.onSwapped(written.configuration()));
                });
                return;
            }
            Throwable cause = problem instanceof CompletionException wrapper ? wrapper.getCause() : problem;
            if (cause instanceof PlatformException failure && failure.kind() == PlatformException.Kind.CONFLICT) {
                long delay = ThreadLocalRandom.current().nextLong(MAXIMUM_CONFLICT_DELAY_MILLIS);
                executeAfter(attempt.onSwapConflict(), delay);
            } else if (cause instanceof PlatformException failure && failure.kind() == PlatformException.Kind.REFUSED) {
                refuse(RefusalException.notRun(
                        RefusalKind.CONFIGURATION_INVALID,
                        "The platform refused the document of " + written.text().length() + " characters: "
                                + failure.getMessage() + "; make it smaller."));
            } else {
                executeAfter(attempt.onSwapUnanswered(written.configuration()), RETRY_DELAY_MILLIS);
            }
        }

        private void executeAfter(ChangeStep step, long delayMillis) {
            if (delayMillis == 0) {
                execute(step);
                return;
            }
            Executor delayed = CompletableFuture.delayedExecutor(delayMillis, TimeUnit.MILLISECONDS);
            delayed.execute(() -> execute(step));
        }
    }
}
