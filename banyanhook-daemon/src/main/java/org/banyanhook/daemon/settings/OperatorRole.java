package org.banyanhook.daemon.settings;

/** What an operator may do. */
public enum OperatorRole {
    /** Ask what is true now. */
    READ,
    /** Ask, and issue changes. */
    OPERATE;

    /** Returns whether this role includes another. */
    public boolean includes(OperatorRole other) {
        return compareTo(other) >= 0;
    }
}
