package org.banyanhook.cli;

/** The exit codes of the tool. */
final class ExitCodes {

    static final int DONE = 0;
    static final int REFUSED = 1;
    static final int USAGE = 2;
    static final int UNREACHABLE = 3;

    private ExitCodes() {}
}
