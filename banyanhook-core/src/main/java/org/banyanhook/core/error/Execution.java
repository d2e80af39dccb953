package org.banyanhook.core.error;

/** What is known about whether a refused request ran. */
public enum Execution {
    /** The statement was never sent, or the backend server refused it before running it. */
    NOT_RUN("not-run"),
    /** The statement may have run. */
    UNKNOWN("unknown"),
    /** The statement ran, but its answer could not be delivered as requested. */
    RUN("run");

    private final String label;

    Execution(String label) {
        this.label = label;
    }

    /** Returns the name used in answers to callers. */
    public String label() {
        return label;
    }
}
