package org.banyanhook.core.primary;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.ToLongFunction;

/**
 * The replacements of primaries that this daemon has agreed to and whose outcome it does not know yet.
 *
 * <p>A daemon without contact to the store relies on a majority of the others to hear of a replaced primary. That
 * majority shares a daemon with the one that agreed to the replacement, so whoever agreed has to tell until it has seen
 * the record of the promotion, or until no such record can follow any more. A daemon that restarts forgets what it
 * agreed to; it is asked again once the promotion is on record, and reads the record if it restarts later. Not safe for
 * use by several threads.
 */
public final class GrantedVotes {

    /** A promotion is recorded within this time of the answers that allow it, or not at all. */
    public static final long RECORDING_TIMEOUT_NANOS = Duration.ofSeconds(3).toNanos();

    /** The right to promote, which the store checks when it records a promotion, lasts at most this long. */
    public static final Duration PROMOTION_LEASE_DURATION = Duration.ofSeconds(5);

    /** How long after the agreement a promotion can still be recorded, with a second for the answer's way. */
    static final long VOTE_LIFETIME_NANOS =
            RECORDING_TIMEOUT_NANOS + PROMOTION_LEASE_DURATION.plusSeconds(1).toNanos();

    private final Map<String, Vote> votes = new HashMap<>();

    private record Vote(long votedNanos, long promotionRevision) {}

    /**
     * Notes that this daemon agreed to a replacement.
     *
     * @param group the database group
     * @param promotionRevision the revision of the newest promotion of the group that is known here, 0 for none
     * @param nowNanos the time on this entry VM's monotonic clock
     */
    public void record(String group, long promotionRevision, long nowNanos) {
        votes.put(group, new Vote(nowNanos, promotionRevision));
    }

    /**
     * Returns the groups whose primary may have been replaced without this daemon knowing.
     *
     * @param promotionRevision tells the revision of the newest promotion of a group that is known here, 0 for none
     * @param lastStoreContactNanos when the last call was sent that the store answered
     * @return the groups
     */
    public Set<String> inDoubtGroups(ToLongFunction<String> promotionRevision, long lastStoreContactNanos) {
        votes.entrySet().removeIf(entry -> {
            Vote vote = entry.getValue();
            return promotionRevision.applyAsLong(entry.getKey()) > vote.promotionRevision()
                    || isExpired(vote.votedNanos(), lastStoreContactNanos);
        });
        return new HashSet<>(votes.keySet());
    }

    private static boolean isExpired(long votedNanos, long lastStoreContactNanos) {
        return lastStoreContactNanos - (votedNanos + VOTE_LIFETIME_NANOS) > 0;
    }
}
