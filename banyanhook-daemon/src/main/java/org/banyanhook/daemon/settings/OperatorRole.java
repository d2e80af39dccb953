package org.banyanhook.daemon.settings;

/** The permissions of an operator. */
public enum OperatorRole {
    /** Permits queries. */
    READ,
    /** Permits queries and changes. */
    OPERATE;

    /** Returns whether this role includes the permissions of another. */
    public boolean includes(OperatorRole other) {
        return compareTo(other) >= 0;
    }
}
