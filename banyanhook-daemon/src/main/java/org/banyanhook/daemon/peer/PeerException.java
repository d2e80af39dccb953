package org.banyanhook.daemon.peer;

/** Thrown when a peer could not be reached or did not reply in time. */
public final class PeerException extends Exception {

    private static final long serialVersionUID = 1L;

    private final boolean maybeSent;

    /**
     * Creates an exception.
     *
     * @param message what failed, and the remedy
     * @param maybeSent true if any byte of the request may have left this process
     */
    public PeerException(String message, boolean maybeSent) {
        super(message);
        this.maybeSent = maybeSent;
    }

    /** Returns whether any byte of the request may have left this process. */
    public boolean maybeSent() {
        return maybeSent;
    }
}
