package org.banyanhook.core.primary;

/** How far a proposal came. */
public enum PromotionState {
    /** It collects a majority of members that accept its term. */
    FENCING,
    /** It has the majority and makes the member with the latest log primary. */
    PROMOTING,
    /** The primary is made; the other members are told to follow. */
    FOLLOWING,
    /** A majority follows; the change is complete. */
    PUBLISHED,
    /** It gave up its term; only a proposal with a higher term may go on. */
    ABANDONED;

    /** Returns whether nothing more will happen. */
    public boolean isFinal() {
        return this == PUBLISHED || this == ABANDONED;
    }
}
