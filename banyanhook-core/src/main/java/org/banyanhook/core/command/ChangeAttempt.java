package org.banyanhook.core.command;

import com.google.common.collect.ImmutableSet;
import java.util.Set;
import org.banyanhook.core.configuration.FleetConfiguration;
import org.banyanhook.core.error.Execution;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;

/**
 * Makes one change by compare-and-swap, retrying until it is part of the configuration, refused or out of time. Not
 * safe for use by several threads.
 *
 * <p>A swap whose answer was lost may have taken effect or may yet do so; the next read and the command id tell, as the
 * swaps that follow expect a newer revision.
 */
public final class ChangeAttempt {

    private final ChangeRequest request;
    private boolean swapOutcomeUnknown;
    private long unansweredSwapVersion;

    /**
     * Creates an attempt.
     *
     * @param request the change
     */
    public ChangeAttempt(ChangeRequest request) {
        this.request = request;
    }

    /** Returns the first step. */
    public ChangeStep begin() {
        return new ChangeStep.Read();
    }

    /**
     * Takes the document read.
     *
     * @param newest the document that the platform holds
     * @param highestVersionSeen the highest version that this entry VM has seen from anyone
     * @param withdrawals withdrawn keys known here, which every change carries along
     * @return the next step
     */
    public ChangeStep onRead(FleetConfiguration newest, long highestVersionSeen, Set<String> withdrawals) {
        if (newest.version() < highestVersionSeen) {
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
     * Takes a successful swap.
     *
     * @param written the configuration that was written
     * @return the last step
     */
    public ChangeStep onSwapped(FleetConfiguration written) {
        return new ChangeStep.Finished(written.version());
    }

    /** Takes a swap that changed nothing, as the revision differed; returns the next step. */
    public ChangeStep onSwapConflict() {
        return new ChangeStep.Read();
    }

    /**
     * Takes a swap without an answer.
     *
     * @param written the configuration that may have been written
     * @return the next step
     */
    public ChangeStep onSwapUnanswered(FleetConfiguration written) {
        swapOutcomeUnknown = true;
        unansweredSwapVersion = written.version();
        return new ChangeStep.Read();
    }

    /** Takes a read without an answer; returns the next step. */
    public ChangeStep onReadUnanswered() {
        return new ChangeStep.Read();
    }

    /** Ends the attempt because its time is over; returns a refusal that tells whether the change may take effect. */
    public ChangeStep.Refused onDeadline() {
        String detail = swapOutcomeUnknown
                ? "The platform's service did not answer whether the change took effect; retry with command id "
                        + request.commandId() + "."
                : "The platform's service did not answer, and nothing was changed.";
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
