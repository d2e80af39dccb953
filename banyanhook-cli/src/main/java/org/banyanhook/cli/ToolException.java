package org.banyanhook.cli;

/** A command was not carried out, with the exit code that tells why. */
final class ToolException extends Exception {

    private static final long serialVersionUID = 1L;

    private final int exitCode;

    ToolException(int exitCode, String message) {
        super(message);
        this.exitCode = exitCode;
    }

    int exitCode() {
        return exitCode;
    }
}
