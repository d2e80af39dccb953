package org.banyanhook.daemon.platform;

/** Thrown when a call to the platform's service fails. */
public final class PlatformException extends Exception {

    private static final long serialVersionUID = 1L;

    /** The kind of failure, which states whether a change may have taken effect. */
    public enum Kind {
        /** The revision was not the expected one; nothing changed. */
        CONFLICT,
        /** No valid response was received; a change may have taken effect. */
        UNAVAILABLE,
        /** The service refused the call; nothing changed. */
        REFUSED
    }

    private final Kind kind;

    /**
     * Creates an exception.
     *
     * @param kind the kind of failure
     * @param message what failed, and the remedy
     */
    public PlatformException(Kind kind, String message) {
        super(message);
        this.kind = kind;
    }

    /** Returns the kind of failure. */
    public Kind kind() {
        return kind;
    }
}
