package org.banyanhook.daemon.backend;

import static java.util.Objects.requireNonNull;

import org.jspecify.annotations.Nullable;

/** Thrown when a request to a backend server fails; the kind states whether the request may have run. */
public final class BackendException extends Exception {

    private static final long serialVersionUID = 1L;

    /** Whether a failed request may have run. */
    public enum Kind {
        /** No byte of the request was sent. */
        NOT_SENT,
        /** Part of the request may have been sent, and no valid response to it was received; it may have run. */
        MAYBE_SENT,
        /** The backend server responded that it did not run the request. */
        REFUSED
    }

    private final Kind kind;
    private final String errorCode;
    private final long observedTerm;

    private BackendException(
            Kind kind, String message, String errorCode, long observedTerm, @Nullable Throwable cause) {
        super(message, cause);
        this.kind = requireNonNull(kind, "kind");
        this.errorCode = requireNonNull(errorCode, "errorCode");
        this.observedTerm = observedTerm;
    }

    /**
     * Creates an exception for a request of which no byte was sent.
     *
     * @param message what failed
     * @param cause the cause, or null
     */
    static BackendException notSent(String message, @Nullable Throwable cause) {
        return new BackendException(Kind.NOT_SENT, message, "", 0, cause);
    }

    /**
     * Creates an exception for a request that may have run.
     *
     * @param message what failed
     * @param cause the cause, or null
     */
    static BackendException maybeSent(String message, @Nullable Throwable cause) {
        return new BackendException(Kind.MAYBE_SENT, message, "", 0, cause);
    }

    /**
     * Creates an exception for a request that the backend server refused before running it.
     *
     * @param message the detail that the server reported
     * @param errorCode the server's error code, such as {@code wrong-term}
     * @param observedTerm the term that the server reported, 0 if none
     */
    static BackendException refused(String message, String errorCode, long observedTerm) {
        return new BackendException(Kind.REFUSED, message, errorCode, observedTerm, null);
    }

    /** Returns whether the request may have run. */
    public Kind kind() {
        return kind;
    }

    /** Returns the error code of a refusal, or an empty string. */
    public String errorCode() {
        return errorCode;
    }

    /** Returns the term that the server reported with a refusal, 0 if none. */
    public long observedTerm() {
        return observedTerm;
    }

    /** Returns whether the server refused because it is not the primary or is in a term other than the request's. */
    public boolean primaryChanged() {
        return errorCode.equals(BackendErrorCodes.WRONG_TERM) || errorCode.equals(BackendErrorCodes.NOT_PRIMARY);
    }
}
