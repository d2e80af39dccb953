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

    private final Map<String, Long> inDoubtNanos = new HashMap<>();
    private boolean hasContact;
    private long lastContactNanos;

    /**
     * Takes in one round of answers.
     *
     * @param askedNanos when the question was sent
     * @param votes how many daemons were asked and how many answered
     * @param inDoubtGroups the groups whose primary was replaced, or may have been, as one of them knows
     */
    public void recordRound(long askedNanos, VoteTally votes, Set<String> inDoubtGroups) {
        inDoubtGroups.forEach(group -> inDoubtNanos.put(group, askedNanos));
        if (votes.majorityAnswered()) {
            hasContact = true;
            lastContactNanos = askedNanos;
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
        Long groupInDoubtNanos = inDoubtNanos.get(group);
        boolean inDoubtSinceContact = groupInDoubtNanos != null && groupInDoubtNanos - lastContactNanos >= 0;
        return hasContact
                && nowNanos - lastContactNanos <= PromotionPermission.CONTACT_TIMEOUT_NANOS
                && !inDoubtSinceContact;
    }

    /** Forgets the contact, because the clock did not count a suspension. */
    public void reset() {
        hasContact = false;
    }
}
