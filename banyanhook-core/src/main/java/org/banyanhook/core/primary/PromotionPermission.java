package org.banyanhook.core.primary;

import java.time.Duration;

/**
 * Whether the primary of a group may be replaced without asking it.
 *
 * <p>Daemons that say that they do not reach the primary have stopped using it and remember that they agreed
 * ({@link ReplacementGrants}). A daemon that does not answer stops by itself after {@link #CONTACT_NANOS} unless it is
 * in contact with the store, where the promotion is on record, or with a majority of the daemons, one of which agreed.
 * So a replacement needs a majority of answers, none that reaches the primary, and, while any daemon is silent, a wait
 * after the promotion is on record.
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

    /** Without contact for this long, a daemon uses no primary any more. */
    public static final long CONTACT_NANOS = Duration.ofMillis(2_500).toNanos();

    /** How long after its contact ended a daemon has certainly stopped, its periodic check included. */
    public static final long STOPPED_NANOS =
            CONTACT_NANOS + Duration.ofMillis(500).toNanos();

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
     */
    public record Votes(int asked, int unreachable, int reachable) {

        /** The votes before anybody answered. */
        public static final Votes NONE = new Votes(0, 0, 0);

        /** Adds the votes of others. */
        public Votes plus(Votes other) {
            return new Votes(asked + other.asked, unreachable + other.unreachable, reachable + other.reachable);
        }

        /** Returns whether those that answered are a majority of all daemons, the asking one included. */
        public boolean majorityAnswered() {
            int all = asked + 1;
            return (answered() + 1) * 2 > all;
        }

        /** Returns how many answered. */
        public int answered() {
            return unreachable + reachable;
        }

        /** Returns how many did not answer. */
        public int silent() {
            return asked - answered();
        }
    }

    /**
     * Decides.
     *
     * @param votes what the other daemons said
     * @param sinceNanos for how long the promotion has been on record, 0 if it is not yet
     * @return whether the primary may be replaced, or why not
     */
    public static PromotionPermission decide(Votes votes, long sinceNanos) {
        if (votes.reachable() > 0) {
            return STILL_REACHED;
        }
        if (!votes.majorityAnswered()) {
            return NO_MAJORITY;
        }
        return votes.silent() > 0 && sinceNanos < STOPPED_NANOS ? SILENT_DAEMONS : GRANTED;
    }

    /** Returns why, for the log. */
    public String reason() {
        return reason;
    }
}
