package org.banyanhook.core.primary;

import org.jspecify.annotations.Nullable;

/**
 * Whether work that relies on a member being the primary may go on there.
 *
 * <p>Load pattern: a failure domain is cut off with the primary in it, while callers there have transactions open. A
 * promotion elsewhere is learned from its record, an announcement, a vote, a status report or a refusal; in each case
 * the open work at the old primary has to end before this daemon counts as having stopped using it. A primary that is
 * merely not listed for a while keeps its work.
 */
public enum PrimaryReliance {
    /** No other member is known to have taken over. */
    CONTINUES(""),
    /** The last recorded promotion names another member. */
    OTHER_MEMBER_RECORDED("the promotion of another member is recorded"),
    /** Another member is the known primary. */
    OTHER_MEMBER_LEADS("another member is the primary"),
    /** The member has refused a statement or reported a status that only a replica gives. */
    NOT_PRIMARY_BY_ITS_OWN_REPORT("the member reported that it is not the primary"),
    /** The member's process has been replaced by a new one. */
    RESTARTED("the member has restarted");

    private final String reason;

    PrimaryReliance(String reason) {
        this.reason = reason;
    }

    /**
     * Decides whether work may go on.
     *
     * @param member the member at which the work is done
     * @param recordedMember the member named by the last recorded promotion, or null if none is recorded
     * @param knownPrimary the member known to be the primary, or null if there is none
     * @param reportRejected whether the member has said itself that it is not the primary
     * @param restarted whether a newer process of the member is listed
     * @return {@link #CONTINUES}, or the reason why the work must end
     */
    public static PrimaryReliance decide(
            String member,
            @Nullable String recordedMember,
            @Nullable String knownPrimary,
            boolean reportRejected,
            boolean restarted) {
        if (recordedMember != null && !recordedMember.equals(member)) {
            return OTHER_MEMBER_RECORDED;
        }
        if (knownPrimary != null && !knownPrimary.equals(member)) {
            return OTHER_MEMBER_LEADS;
        }
        if (reportRejected) {
            return NOT_PRIMARY_BY_ITS_OWN_REPORT;
        }
        return restarted ? RESTARTED : CONTINUES;
    }

    /** Returns the reason, for the log. */
    public String reason() {
        return reason;
    }
}
