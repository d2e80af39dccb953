package org.banyanhook.core.membership;

/** The state of a member. At the same incarnation, a later constant supersedes an earlier one. */
public enum MemberState {
    /** The member answers. */
    ALIVE,
    /** The member did not answer a probe; it becomes dead unless it refutes the suspicion in time. */
    SUSPECT,
    /** The member announced its shutdown. */
    LEAVING,
    /** The member did not refute the suspicion in time, or has shut down. */
    DEAD
}
