package org.banyanhook.core.primary;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * The answers of other daemons about replaced primaries, for a daemon without contact to the store. Not thread-safe.
 */
public final class PeerContact {

    private final Map<String, Long> inDoubtNanos = new HashMap<>();
    private boolean hasContact;
    private long lastContactNanos;

    /**
     * Records the answers to one round of requests.
     *
     * @param askedNanos the time at which the requests were sent
     * @param mayRely whether the voters that answered suffice ({@link VoterSets#mayRely})
     * @param groupsInDoubt the groups whose primary was replaced, or may have been, according to at least one answer
     */
    public void recordRound(long askedNanos, boolean mayRely, Set<String> groupsInDoubt) {
        groupsInDoubt.forEach(group -> inDoubtNanos.put(group, askedNanos));
        if (mayRely) {
            hasContact = true;
            lastContactNanos = askedNanos;
        }
    }

    /**
     * Returns whether the known primary of a group had certainly not been replaced when a majority last answered.
     *
     * @param group the database group
     * @param nowNanos the reading of this entry VM's monotonic clock
     * @return true if a majority answered within {@link PromotionPermission#CONTACT_TIMEOUT_NANOS} and no answer of
     *     that round or later reports the group in doubt
     */
    public boolean mayUsePrimary(String group, long nowNanos) {
        Long groupInDoubtNanos = inDoubtNanos.get(group);
        boolean inDoubtSinceContact = groupInDoubtNanos != null && groupInDoubtNanos - lastContactNanos >= 0;
        return hasContact
                && nowNanos - lastContactNanos <= PromotionPermission.CONTACT_TIMEOUT_NANOS
                && !inDoubtSinceContact;
    }

    /** Discards the contact, because the clock does not count the time of a suspension. */
    public void reset() {
        hasContact = false;
    }
}
