package org.banyanhook.core.configuration;

/** What an entry VM did with a configuration document that it saw. */
public enum DocumentDecision {
    ADOPTED("its version is the highest seen"),
    KNOWN("it is already in force"),
    OLDER("a higher version is in force"),
    OLDER_WITH_NEW_WITHDRAWALS("a higher version is in force, but its withdrawals were new"),
    DIFFERENT_CONTENT("another document of the same version is in force; write a higher version to the platform");

    private final String reason;

    DocumentDecision(String reason) {
        this.reason = reason;
    }

    /** Returns why, for the log line. */
    public String reason() {
        return reason;
    }

    /** Returns whether what is in force changed. */
    public boolean changesEffectiveConfiguration() {
        return this == ADOPTED || this == OLDER_WITH_NEW_WITHDRAWALS;
    }
}
