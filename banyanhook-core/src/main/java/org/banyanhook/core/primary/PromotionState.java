package org.banyanhook.core.primary;

/** The state of a proposal. */
public enum PromotionState {
    /** The proposal waits for a majority of the members to accept its term. */
    FENCING,
    /** A majority accepted the term; the member with the latest log is being promoted. */
    PROMOTING,
    /** The new primary is promoted; the other members are instructed to follow it. */
    FOLLOWING,
    /** A majority follows the new primary; the change is complete. */
    PUBLISHED,
    /** The proposal gave up its term; only a proposal with a higher term can continue. */
    ABANDONED;

    /** Returns whether the state does not change any more. */
    public boolean isFinal() {
        return this == PUBLISHED || this == ABANDONED;
    }
}
