package org.banyanhook.core.configuration;

/** The decision of an entry VM on a configuration document that it received. */
public enum DocumentDecision {
    ADOPTED("its version is the highest received"),
    KNOWN("it is already in force"),
    OLDER("a higher version is in force"),
    OLDER_WITH_NEW_WITHDRAWALS("a higher version is in force, but its withdrawals were new"),
    DIFFERENT_CONTENT("another document of the same version is in force; write a higher version to the platform");

    private final String reason;

    DocumentDecision(String reason) {
        this.reason = reason;
    }

    /** Returns the reason, for the log line. */
    public String reason() {
        return reason;
    }

    /** Returns whether the decision changes the configuration in force. */
    public boolean changesEffectiveConfiguration() {
        return this == ADOPTED || this == OLDER_WITH_NEW_WITHDRAWALS;
    }
}
