package org.banyanhook.core.primary;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.banyanhook.core.primary.PromotionPermission.VoteTally;

/**
 * What a daemon without contact to the store learns from the other daemons about replaced primaries. Not safe for use
 * by several threads.
 */
public final class PeerContact {

    private final Map<String, Long> doubtedNanos = new HashMap<>();
    private boolean everInContact;
    private long contactNanos;

    /**
     * Takes in one round of answers.
     *
     * @param askedNanos when the question was sent
     * @param votes how many daemons were asked and how many answered
     * @param inDoubtGroups the groups whose primary was replaced, or may have been, as one of them knows
     */
    public void recordRound(long askedNanos, VoteTally votes, Set<String> inDoubtGroups) {
        inDoubtGroups.forEach(group -> doubtedNanos.put(group, askedNanos));
        if (votes.majorityAnswered()) {
            everInContact = true;
            contactNanos = askedNanos;
        }
    }

    /**
     * Returns whether the primary that this daemon believes certainly was not replaced a while ago.
     *
     * @param group the database group
     * @param nowNanos the time on this entry VM's monotonic clock
     * @return true if a majority of the daemons answered of late and none of them knows of a replacement
     */
    public boolean mayUsePrimary(String group, long nowNanos) {
        Long doubted = doubtedNanos.get(group);
        boolean doubtedSince = doubted != null && doubted - contactNanos >= 0;
        return everInContact && nowNanos - contactNanos <= PromotionPermission.CONTACT_TIMEOUT_NANOS && !doubtedSince;
    }

    /** Forgets the contact, because the clock did not count a suspension. */
    public void reset() {
        everInContact = false;
    }
}
