package org.banyanhook.gateway.port;

import java.util.concurrent.CompletionException;
import org.jspecify.annotations.Nullable;

/** Indicates that a call to the store failed. */
public final class StoreException extends Exception {

    private static final long serialVersionUID = 1L;

    /** Why a call failed. */
    public enum Kind {
        /** The store did not execute the call; it may be retried later. */
        REFUSED,
        /** No answer was received; the change may have been made or may still be made. */
        NO_ANSWER,
        /** The condition of the write does not hold. */
        CONFLICT,
        /** The lease has ended. */
        LEASE_ENDED,
        /** The history after the revision is no longer available; all records have to be read again. */
        HISTORY_LOST
    }

    private final Kind kind;

    /**
     * Creates an exception.
     *
     * @param kind why the call failed
     * @param message the detail message
     */
    public StoreException(Kind kind, String message) {
        super(message);
        this.kind = kind;
    }

    /** Returns why the call failed. */
    public Kind kind() {
        return kind;
    }

    /**
     * Returns the kind of a failure.
     *
     * @param failure the exception of a call's future, or null
     * @return the kind, or null if the failure is not a {@link StoreException}
     */
    public static @Nullable Kind kind(@Nullable Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof StoreException store ? store.kind() : null;
    }
}
