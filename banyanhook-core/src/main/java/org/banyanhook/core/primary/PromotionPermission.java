package org.banyanhook.core.primary;

import java.time.Duration;

/**
 * Whether the primary of a group may be replaced without asking it.
 *
 * <p>A daemon that reports that it does not reach the primary has stopped using it and keeps a record of its vote
 * ({@link GrantedVotes}). A daemon that does not answer stops using the primary after {@link #CONTACT_TIMEOUT_NANOS},
 * unless it is in contact with the store, where the promotion is recorded, or with a majority of the voters, at least
 * one of which has voted. A replacement therefore requires answers from enough of the voters ({@link VoterSets}), none
 * of which reaches the primary, and, while any daemon does not answer, a wait after the promotion is recorded.
 */
public enum PromotionPermission {
    /** No daemon uses the primary any more. */
    GRANTED("no daemon uses the primary any more"),
    /** The primary still serves other daemons. */
    STILL_REACHED("another daemon reaches the primary"),
    /** Too few voters answered: a majority that this daemon does not reach may continue to use the primary. */
    NO_MAJORITY("too few of the voters answered"),
    /** A daemon that does not answer may not have stopped using the primary yet. */
    SILENT_DAEMONS("waiting until unresponsive daemons have stopped using the primary");

    /**
     * A daemon without contact for longer than this uses no primary. It exceeds the second between two renewals of a
     * daemon's lease plus the answer time of a slow store; a primary that some daemons do not reach is replaced no
     * sooner.
     */
    public static final long CONTACT_TIMEOUT_NANOS = Duration.ofMillis(1_800).toNanos();

    /**
     * Time after the end of its contact by which a daemon has certainly stopped using a primary, including the interval
     * of its periodic check.
     */
    public static final long STOPPED_AFTER_NANOS =
            CONTACT_TIMEOUT_NANOS + Duration.ofMillis(400).toNanos();

    private final String reason;

    PromotionPermission(String reason) {
        this.reason = reason;
    }

    /**
     * The answers of the other daemons about the primary of a group.
     *
     * @param asked the number of daemons asked, including those seen recently
     * @param unreachable the number of daemons that do not reach the primary and have stopped using it
     * @param reachable the number of daemons that reach it
     */
    public record VoteTally(int asked, int unreachable, int reachable) {

        /** The tally before any answer. */
        public static final VoteTally EMPTY = new VoteTally(0, 0, 0);

        /** Returns the sum of this tally and another. */
        public VoteTally plus(VoteTally other) {
            return new VoteTally(asked + other.asked, unreachable + other.unreachable, reachable + other.reachable);
        }

        /** Returns the number of daemons that answered. */
        public int answered() {
            return unreachable + reachable;
        }

        /** Returns the number of daemons that did not answer. */
        public int unanswered() {
            return asked - answered();
        }
    }

    /**
     * Decides whether the primary may be replaced.
     *
     * @param votes the answers of the other daemons
     * @param votersSuffice whether enough voters answered ({@link VoterSets#mayDecide})
     * @param recordedForNanos the time for which the promotion has been recorded, 0 if it is not recorded yet
     * @return {@link #GRANTED}, or the reason why the primary may not be replaced
     */
    public static PromotionPermission decide(VoteTally votes, boolean votersSuffice, long recordedForNanos) {
        if (votes.reachable() > 0) {
            return STILL_REACHED;
        }
        if (!votersSuffice) {
            return NO_MAJORITY;
        }
        return votes.unanswered() > 0 && recordedForNanos < STOPPED_AFTER_NANOS ? SILENT_DAEMONS : GRANTED;
    }

    /** Returns the reason, for the log. */
    public String reason() {
        return reason;
    }
}
