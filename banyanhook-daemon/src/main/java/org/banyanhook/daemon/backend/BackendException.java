package org.banyanhook.daemon.backend;

import static java.util.Objects.requireNonNull;

import org.jspecify.annotations.Nullable;

/** A request to a backend server failed, with what is known about whether it ran. */
public final class BackendException extends Exception {

    private static final long serialVersionUID = 1L;

    /** What is known about a failed request. */
    public enum Kind {
        /** No byte of the request left this process. */
        NOT_SENT,
        /** A byte may have left this process and no whole answer of its own came back. */
        MAYBE_SENT,
        /** The backend server answered that it did not run the request. */
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
     * Creates an exception for a request of which no byte left.
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
     * @param message what the server said
     * @param errorCode its error code, such as {@code wrong-term}
     * @param observedTerm the term that it named, 0 if none
     */
    static BackendException refused(String message, String errorCode, long observedTerm) {
        return new BackendException(Kind.REFUSED, message, errorCode, observedTerm, null);
    }

    /** Returns what is known about the request. */
    public Kind kind() {
        return kind;
    }

    /** Returns the error code of a refusal, or an empty string. */
    public String errorCode() {
        return errorCode;
    }

    /** Returns the term that a refusal named, 0 if none. */
    public long observedTerm() {
        return observedTerm;
    }

    /** Returns whether the server refused because it does not lead the database group in the believed term. */
    public boolean primaryChanged() {
        return errorCode.equals(BackendErrorCodes.WRONG_TERM) || errorCode.equals(BackendErrorCodes.NOT_PRIMARY);
    }
}
