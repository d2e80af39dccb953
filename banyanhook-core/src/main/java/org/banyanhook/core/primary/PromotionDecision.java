package org.banyanhook.core.primary;

/**
 * The decision whether a database group needs a new primary.
 *
 * @param kind the kind of decision
 * @param reason the reason, for the log
 */
public record PromotionDecision(Kind kind, String reason) {

    /** The kinds of decisions. */
    public enum Kind {
        /** The primary works, or no action is possible. */
        NONE,
        /** The primary may have failed: read all members and ask peers for their reports. */
        INVESTIGATE,
        /** Propose a new primary immediately. */
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
