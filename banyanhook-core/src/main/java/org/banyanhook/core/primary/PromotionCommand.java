package org.banyanhook.core.primary;

/**
 * A command that the owner of a proposal executes. Every command is idempotent.
 *
 * @param kind the kind of command
 * @param member the backend server to call, or for {@link Kind#PUBLISH} the new primary
 * @param term the term of the command
 * @param primaryMember the primary to follow; empty for {@link Kind#FENCE} and {@link Kind#PROMOTE}
 */
public record PromotionCommand(Kind kind, String member, long term, String primaryMember) {

    /** The kinds of commands. */
    public enum Kind {
        /** Make the member accept the term and refuse requests of earlier terms. */
        FENCE,
        /** Make the member the primary of the term. */
        PROMOTE,
        /** Make the member replicate from the primary of the term. */
        FOLLOW,
        /** Announce the primary to the platform and the peers. */
        PUBLISH
    }

    static PromotionCommand fence(String member, long term) {
        return new PromotionCommand(Kind.FENCE, member, term, "");
    }

    static PromotionCommand promote(String member, long term) {
        return new PromotionCommand(Kind.PROMOTE, member, term, "");
    }

    static PromotionCommand follow(String member, long term, String primaryMember) {
        return new PromotionCommand(Kind.FOLLOW, member, term, primaryMember);
    }

    static PromotionCommand publish(String primaryMember, long term) {
        return new PromotionCommand(Kind.PUBLISH, primaryMember, term, primaryMember);
    }
}
