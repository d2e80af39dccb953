package org.banyanhook.testbed.http;

/** A request does not match the interface. */
public final class MalformedRequestException extends Exception {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message what is wrong with the request
     */
    public MalformedRequestException(String message) {
        super(message);
    }
}
