package org.banyanhook.core.membership;

/** What is believed about a member, in the order in which one overrides another of the same incarnation. */
public enum MemberState {
    /** It answers. */
    ALIVE,
    /** It did not answer a probe; it becomes dead unless it refutes this in time. */
    SUSPECT,
    /** It announced that it shuts down. */
    LEAVING,
    /** It did not refute the suspicion, or left. */
    DEAD
}
