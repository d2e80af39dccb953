package org.banyanhook.core.primary;

/**
 * Whether a database group needs a new primary.
 *
 * @param kind what to do
 * @param reason why, for the log
 */
public record PromotionDecision(Kind kind, String reason) {

    /** The kinds of decisions. */
    public enum Kind {
        /** The primary works, or nothing can be done. */
        NONE,
        /** The primary may have failed: read all members and ask peers for evidence. */
        INVESTIGATE,
        /** Propose a new primary now. */
        PROPOSE
    }

    static PromotionDecision none(String reason) {
        return new PromotionDecision(Kind.NONE, reason);
    }

    static PromotionDecision investigate(String reason) {
        return new PromotionDecision(Kind.INVESTIGATE, reason);
    }

    static PromotionDecision propose(String reason) {
        return new PromotionDecision(Kind.PROPOSE, reason);
    }
}
