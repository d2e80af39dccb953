package org.banyanhook.daemon;

/** Thrown if the daemon cannot start. */
public final class DaemonStartException extends Exception {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message the failure and its remedy
     * @param cause the cause of the failure
     */
    public DaemonStartException(String message, Throwable cause) {
        super(message, cause);
    }
}
