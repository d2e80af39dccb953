package org.banyanhook.daemon.platform;

/** A call to the platform's service failed. */
public final class PlatformException extends Exception {

    private static final long serialVersionUID = 1L;

    /** The kinds of failure. */
    public enum Kind {
        /** The revision differed; nothing changed. */
        CONFLICT,
        /** No answer came; a change may have taken effect. */
        UNAVAILABLE,
        /** The service refused the call; nothing changed. */
        REFUSED
    }

    private final Kind kind;

    /**
     * Creates an exception.
     *
     * @param kind the kind of failure
     * @param message what failed and what to do about it
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
