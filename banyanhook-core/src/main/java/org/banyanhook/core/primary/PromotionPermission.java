package org.banyanhook.core.primary;

import java.time.Duration;

/**
 * Whether the primary of a group may be replaced without asking it.
 *
 * <p>Daemons that say that they do not reach the primary have stopped using it and remember that they agreed
 * ({@link GrantedVotes}). A daemon that does not answer stops by itself after {@link #CONTACT_TIMEOUT_NANOS} unless it
 * is in contact with the store, where the promotion is on record, or with a majority of the daemons, one of which
 * agreed. So a replacement needs answers of a majority of the witnesses, none that reaches the primary, and, while any
 * daemon is silent, a wait after the promotion is on record.
 */
public enum PromotionPermission {
    /** Nobody uses the primary any more. */
    GRANTED("nobody uses the primary any more"),
    /** The primary serves others. */
    STILL_REACHED("another daemon reaches the primary"),
    /** A majority that this daemon does not see may go on using the primary. */
    NO_MAJORITY("too few daemons answered"),
    /** A daemon that is silent may not have stopped yet. */
    SILENT_DAEMONS("waiting until silent daemons have stopped");

    /**
     * Without contact for this long, a daemon uses no primary any more. Above the second between two renewals of its
     * lease and an answer of a slow store; a primary that some daemons miss is replaced no sooner.
     */
    public static final long CONTACT_TIMEOUT_NANOS = Duration.ofMillis(1_800).toNanos();

    /** How long after its contact ended a daemon has certainly stopped, its periodic check included. */
    public static final long STOPPED_AFTER_NANOS =
            CONTACT_TIMEOUT_NANOS + Duration.ofMillis(400).toNanos();

    private final String reason;

    PromotionPermission(String reason) {
        this.reason = reason;
    }

    /**
     * What the other daemons said about the primary of a group.
     *
     * @param asked how many were asked, those that were seen of late included
     * @param unreachable how many do not reach the primary and have stopped using it
     * @param reachable how many reach it
     * @param voters how many {@linkplain PromotionVoters witnesses} there are, the asking daemon counted
     * @param votersAnswered how many of them answered, the asking daemon counted
     */
    public record VoteTally(int asked, int unreachable, int reachable, int voters, int votersAnswered) {

        /** The votes before anybody answered, where the asking daemon is a witness. */
        public static final VoteTally EMPTY_FOR_VOTER = new VoteTally(0, 0, 0);

        /** The votes before anybody answered, where the asking daemon is no witness. */
        public static final VoteTally EMPTY_FOR_NON_VOTER = new VoteTally(0, 0, 0, 0, 0);

        /** Counts the votes of a fleet whose daemons are all witnesses, the asking one included. */
        public VoteTally(int asked, int unreachable, int reachable) {
            this(asked, unreachable, reachable, asked + 1, unreachable + reachable + 1);
        }

        /** Adds the votes of others. */
        public VoteTally plus(VoteTally other) {
            return new VoteTally(
                    asked + other.asked,
                    unreachable + other.unreachable,
                    reachable + other.reachable,
                    voters + other.voters,
                    votersAnswered + other.votersAnswered);
        }

        /** Returns whether those that answered are a majority of all witnesses. */
        public boolean majorityAnswered() {
            return votersAnswered * 2 > voters;
        }

        /** Returns how many answered. */
        public int answered() {
            return unreachable + reachable;
        }

        /** Returns how many did not answer. */
        public int unanswered() {
            return asked - answered();
        }
    }

    /**
     * Decides.
     *
     * @param votes what the other daemons said
     * @param recordedForNanos for how long the promotion has been on record, 0 if it is not yet
     * @return whether the primary may be replaced, or why not
     */
    public static PromotionPermission decide(VoteTally votes, long recordedForNanos) {
        if (votes.reachable() > 0) {
            return STILL_REACHED;
        }
        if (!votes.majorityAnswered()) {
            return NO_MAJORITY;
        }
        return votes.unanswered() > 0 && recordedForNanos < STOPPED_AFTER_NANOS ? SILENT_DAEMONS : GRANTED;
    }

    /** Returns why, for the log. */
    public String reason() {
        return reason;
    }
}
