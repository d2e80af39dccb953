package org.banyanhook.daemon;

/** The daemon could not start. */
public final class DaemonStartException extends Exception {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message what failed and what to do about it
     * @param cause why
     */
    public DaemonStartException(String message, Throwable cause) {
        super(message, cause);
    }
}
