package org.banyanhook.daemon.configuration;

/** A configuration document could not be read. */
public final class ConfigurationFormatException extends Exception {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message the place and value at fault and what to write instead
     */
    public ConfigurationFormatException(String message) {
        super(message);
    }
}
