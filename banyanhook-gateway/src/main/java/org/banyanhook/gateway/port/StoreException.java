package org.banyanhook.gateway.port;

import java.util.concurrent.CompletionException;
import org.jspecify.annotations.Nullable;

/** A call to the store that did not succeed. */
public final class StoreException extends Exception {

    private static final long serialVersionUID = 1L;

    /** Why a call failed. */
    public enum Kind {
        /** The store did nothing; ask again later. */
        REFUSED,
        /** No answer came; the change may be made, also later. */
        NO_ANSWER,
        /** The condition does not hold. */
        CONFLICT,
        /** The lease has ended. */
        LEASE_ENDED,
        /** The history after the revision is gone; read all records again. */
        HISTORY_LOST
    }

    private final Kind kind;

    /**
     * Creates a failure.
     *
     * @param kind why the call failed
     * @param message what happened
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
     * Tells why a call failed.
     *
     * @param failure how its future ended, or null
     * @return the kind, or null if it was no failure of the store
     */
    public static @Nullable Kind kind(@Nullable Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof StoreException store ? store.kind() : null;
    }
}
