package org.banyanhook.core.primary;

/**
 * What a daemon knows of the terms of one database group, and from which source.
 *
 * <p>The sources say different things. A position in a log contains the term of the last commit, so a primary that has
 * not committed since its promotion still reports a position of an earlier term. A status report contains the term that
 * the member itself holds, which for a primary is the term that it leads. Whether a log is complete is decided by the
 * terms of positions; a command that must end the leadership of a primary needs a term above the one that it leads. Not
 * thread-safe.
 */
public final class GroupTerms {

    /** The origin of a known term. */
    public enum Source {
        /** No term is known yet. */
        NONE,
        /** The term of the last commit in a member's log, a lower bound of the term that is led. */
        LOG_POSITION,
        /** The term that a member reported to hold. */
        STATUS
    }

    /**
     * A known term.
     *
     * @param term the term, 0 if none is known
     * @param source where it was seen
     * @param member the member that reported it, empty if none did
     * @param observedNanos when it was reported first, by this entry VM's monotonic clock
     */
    public record KnownTerm(long term, Source source, String member, long observedNanos) {

        private static final KnownTerm NONE = new KnownTerm(0, Source.NONE, "", 0);
    }

    private KnownTerm logged = KnownTerm.NONE;
    private KnownTerm held = KnownTerm.NONE;

    /**
     * Records the term of a position in a member's log.
     *
     * @param member the member
     * @param term the term of its last commit
     * @param nowNanos the time
     * @return whether no position of this or a later term was known
     */
    public boolean recordLogged(String member, long term, long nowNanos) {
        if (term <= logged.term()) {
            return false;
        }
        logged = new KnownTerm(term, Source.LOG_POSITION, member, nowNanos);
        return true;
    }

    /**
     * Records the term that a member reported to hold.
     *
     * @param member the member
     * @param term the term
     * @param nowNanos the time
     */
    public void recordHeld(String member, long term, long nowNanos) {
        if (term > held.term()) {
            held = new KnownTerm(term, Source.STATUS, member, nowNanos);
        }
    }

    /** Returns the highest term of any commit that a member has reported, 0 if none is known. */
    public long highestLoggedTerm() {
        return logged.term();
    }

    /** Returns the highest term known from any source. */
    public KnownTerm newest() {
        return held.term() >= logged.term() ? held : logged;
    }

    /**
     * Returns the term for a command that is to end the leadership of a primary: higher than every known term.
     *
     * @param reportedTerm the term that the primary reported to hold, 0 if it has not been asked
     */
    public long termAbove(long reportedTerm) {
        return Math.max(newest().term(), reportedTerm) + 1;
    }
}
