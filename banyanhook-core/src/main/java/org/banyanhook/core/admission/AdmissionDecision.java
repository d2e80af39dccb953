package org.banyanhook.core.admission;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * The decision of a queue about an offered item. Immutable.
 *
 * @param <T> the type of queued items
 */
public final class AdmissionDecision<T> {

    /** The reason for a decision. */
    public enum Reason {
        /** The queue had free capacity. */
        ROOM,
        /** The queue was full; the newest item of the account with the longest queue was displaced. */
        DISPLACED_LONGEST_QUEUE,
        /** The queue was full; an item of a lower priority was displaced. */
        DISPLACED_LOWER_PRIORITY,
        /** The queue was full of items of higher priorities. */
        HIGHER_PRIORITIES_WAIT,
        /** The queue was full; the offering account itself has the longest queue, or would have with this item. */
        OWN_QUEUE_LONGEST,
        /** The account already has the maximum number of waiting items. */
        ACCOUNT_LIMIT,
        /** The deadline had already passed. */
        DEADLINE_PASSED
    }

    private final Reason reason;
    private final @Nullable T displaced;

    private AdmissionDecision(Reason reason, @Nullable T displaced) {
        this.reason = requireNonNull(reason, "reason");
        this.displaced = displaced;
    }

    static <T> AdmissionDecision<T> of(Reason reason) {
        return new AdmissionDecision<>(reason, null);
    }

    static <T> AdmissionDecision<T> displacingLowerPriority(T displaced) {
        return new AdmissionDecision<>(Reason.DISPLACED_LOWER_PRIORITY, displaced);
    }

    static <T> AdmissionDecision<T> displacing(T displaced) {
        return new AdmissionDecision<>(Reason.DISPLACED_LONGEST_QUEUE, displaced);
    }

    /** Returns whether the offered item was queued. */
    public boolean isQueued() {
        return reason == Reason.ROOM || displaced != null;
    }

    /** Returns the reason for the decision. */
    public Reason reason() {
        return reason;
    }

    /** Returns the item that was displaced from the queue and has to be refused as not run, or empty. */
    public Optional<T> displaced() {
        return Optional.ofNullable(displaced);
    }
}
