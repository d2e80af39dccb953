package org.banyanhook.daemon.settings;

import java.util.List;

/** A settings file could not be read or holds values that cannot be used. */
public final class SettingsException extends Exception {

    private static final long serialVersionUID = 1L;

    private final List<SettingsError> errors;

    /**
     * Creates an exception.
     *
     * @param errors all errors found, at least one
     */
    public SettingsException(List<SettingsError> errors) {
        super(String.join(
                System.lineSeparator(),
                errors.stream().map(SettingsError::toString).toList()));
        this.errors = List.copyOf(errors);
    }

    /** Returns all errors found. */
    public List<SettingsError> errors() {
        return errors;
    }
}
