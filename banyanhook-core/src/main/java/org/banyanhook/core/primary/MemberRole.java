package org.banyanhook.core.primary;

/** The role of a member of a database group. */
public enum MemberRole {
    /** The member accepts writes in its term. */
    PRIMARY,
    /** The member replicates from the primary of its term. */
    REPLICA,
    /** The member accepted a term whose primary it does not know; it serves no requests. */
    FENCED
}
