package org.banyanhook.cli;

/** Signals that a command failed, with the exit code of the tool. */
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
