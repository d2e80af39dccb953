package org.banyanhook.daemon.configuration;

/** Thrown if a configuration document cannot be decoded. */
public final class ConfigurationFormatException extends Exception {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message the path and value at fault and the expected value
     */
    public ConfigurationFormatException(String message) {
        super(message);
    }
}
