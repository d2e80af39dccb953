package org.banyanhook.core.admission;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * What a queue decided about an offered item. Immutable.
 *
 * @param <T> the type of queued items
 */
public final class AdmissionDecision<T> {

    /** Why the queue decided as it did. */
    public enum Reason {
        /** The queue had room. */
        ROOM,
        /** The queue was full; the newest item of the account with the longest queue made room. */
        DISPLACED_LONGEST_QUEUE,
        /** The queue was full and the offering account has the longest queue itself. */
        OWN_QUEUE_LONGEST,
        /** The account has as many items waiting as one account may have. */
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

    static <T> AdmissionDecision<T> displacing(T displaced) {
        return new AdmissionDecision<>(Reason.DISPLACED_LONGEST_QUEUE, displaced);
    }

    /** Returns whether the offered item now waits in the queue. */
    public boolean isQueued() {
        return reason == Reason.ROOM || reason == Reason.DISPLACED_LONGEST_QUEUE;
    }

    /** Returns why the queue decided as it did. */
    public Reason reason() {
        return reason;
    }

    /** Returns the item that left the queue to make room, to be refused as not run, or empty. */
    public Optional<T> displaced() {
        return Optional.ofNullable(displaced);
    }
}
