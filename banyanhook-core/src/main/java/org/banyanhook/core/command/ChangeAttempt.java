package org.banyanhook.core.command;

import com.google.common.collect.ImmutableSet;
import java.util.Set;
import org.banyanhook.core.configuration.FleetConfiguration;
import org.banyanhook.core.error.Execution;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;

/**
 * Applies one change to the platform's document by compare-and-swap, retrying until the change is applied, refused or
 * past its deadline. Not thread-safe.
 *
 * <p>A swap whose answer was lost may have taken effect or may still take effect. Later reads show the outcome: if the
 * swap took effect, the document records the command id. Once the document has reached the version of the lost swap,
 * that swap can no longer take effect, because the document then has a newer revision than the swap expects.
 */
public final class ChangeAttempt {

    private final ChangeRequest request;
    private boolean swapOutcomeUnknown;
    private long unansweredSwapVersion;

    /**
     * Creates an attempt.
     *
     * @param request the change to apply
     */
    public ChangeAttempt(ChangeRequest request) {
        this.request = request;
    }

    /** Returns the first step. */
    public ChangeStep begin() {
        return new ChangeStep.Read();
    }

    /**
     * Handles the document that was read.
     *
     * @param newest the document stored by the platform
     * @param highestReceivedVersion the highest version that this entry VM has received from any source
     * @param withdrawals the withdrawn keys known to this entry VM, which are added to every document that is written
     * @return the next step
     */
    public ChangeStep onRead(FleetConfiguration newest, long highestReceivedVersion, Set<String> withdrawals) {
        if (newest.version() < highestReceivedVersion) {
            return new ChangeStep.Read();
        }
        if (newest.version() >= unansweredSwapVersion) {
            swapOutcomeUnknown = false;
        }
        try {
            ChangeResult result = ChangeApplier.apply(newest, request);
            if (result.alreadyApplied()) {
                return new ChangeStep.Finished(result.version());
            }
            return new ChangeStep.Swap(mergeWithdrawals(result.configuration(), withdrawals));
        } catch (RefusalException refusal) {
            return new ChangeStep.Refused(refusal);
        }
    }

    /**
     * Handles a successful swap.
     *
     * @param written the configuration that was written
     * @return the last step
     */
    public ChangeStep onSwapped(FleetConfiguration written) {
        return new ChangeStep.Finished(written.version());
    }

    /** Handles a swap that changed nothing because the revision differed; returns the next step. */
    public ChangeStep onSwapConflict() {
        return new ChangeStep.Read();
    }

    /**
     * Handles a swap without an answer.
     *
     * @param written the configuration that may have been written
     * @return the next step
     */
    public ChangeStep onSwapUnanswered(FleetConfiguration written) {
        swapOutcomeUnknown = true;
        unansweredSwapVersion = written.version();
        return new ChangeStep.Read();
    }

    /** Handles a read without an answer; returns the next step. */
    public ChangeStep onReadUnanswered() {
        return new ChangeStep.Read();
    }

    /**
     * Ends the attempt at its deadline; returns a refusal that states whether the change may have taken or may still
     * take effect.
     */
    public ChangeStep.Refused onDeadline() {
        String detail = swapOutcomeUnknown
                ? "The platform's service did not confirm whether the change took effect; retry with command id "
                        + request.commandId() + "."
                : "The platform's service did not answer; this attempt changed nothing.";
        return new ChangeStep.Refused(RefusalException.builder(RefusalKind.PLATFORM_UNAVAILABLE)
                .execution(swapOutcomeUnknown ? Execution.UNKNOWN : Execution.NOT_RUN)
                .detail(detail)
                .build());
    }

    private static FleetConfiguration mergeWithdrawals(FleetConfiguration configuration, Set<String> withdrawals) {
        Set<String> all = ImmutableSet.<String>builder()
                .addAll(configuration.withdrawnKeyHashes())
                .addAll(withdrawals)
                .build();
        return configuration.toBuilder().withdrawnKeyHashes(all).build();
    }
}
