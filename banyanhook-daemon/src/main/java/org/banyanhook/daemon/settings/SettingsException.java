package org.banyanhook.daemon.settings;

import java.util.List;

/** Thrown when a settings file cannot be read or contains invalid values. */
public final class SettingsException extends Exception {

    private static final long serialVersionUID = 1L;

    private final List<SettingsError> errors;

    /**
     * Creates an exception.
     *
     * @param errors all errors in the file, at least one
     */
    public SettingsException(List<SettingsError> errors) {
        super(String.join(
                System.lineSeparator(),
                errors.stream().map(SettingsError::toString).toList()));
        this.errors = List.copyOf(errors);
    }

    /** Returns all errors in the file. */
    public List<SettingsError> errors() {
        return errors;
    }
}
