package org.banyanhook.core.primary;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.banyanhook.core.store.StoreRevision;

/**
 * The votes of this daemon for the replacement of primaries, each until the daemon knows its outcome.
 *
 * <p>A daemon without contact to the store relies on a majority of the daemons to learn of a replaced primary. That
 * majority has at least one daemon in common with the majority that voted for the replacement. A daemon therefore
 * reports its vote until it has read the record of the promotion, or until such a record can no longer follow. A daemon
 * that restarts loses its votes; it is asked again once the promotion is recorded, and reads the record if it restarts
 * later than that. Not thread-safe.
 */
public final class GrantedVotes {

    /** A promotion is recorded within this time of the answers that permit it, or not at all. */
    public static final long RECORDING_TIMEOUT_NANOS = Duration.ofSeconds(3).toNanos();

    /** The maximum duration of the promotion lease, which the store checks when it records a promotion. */
    public static final Duration PROMOTION_LEASE_DURATION = Duration.ofSeconds(5);

    /**
     * Time after a vote in which a promotion can still be recorded, with one second for the transmission of the answer.
     */
    static final long VOTE_LIFETIME_NANOS =
            RECORDING_TIMEOUT_NANOS + PROMOTION_LEASE_DURATION.plusSeconds(1).toNanos();

    private final Map<String, Vote> votes = new HashMap<>();

    private record Vote(long votedNanos, StoreRevision promotionRevision) {}

    /**
     * Records that this daemon voted for the replacement of a primary.
     *
     * @param group the database group
     * @param promotionRevision the revision of the group's latest promotion known to this daemon, or none
     * @param nowNanos the reading of this entry VM's monotonic clock
     */
    public void recordVote(String group, StoreRevision promotionRevision, long nowNanos) {
        votes.put(group, new Vote(nowNanos, promotionRevision));
    }

    /**
     * Returns the groups whose primary may have been replaced without the knowledge of this daemon.
     *
     * @param promotionRevision returns the revision of a group's latest promotion known to this daemon, or none
     * @param lastStoreContactNanos the time at which the last call that the store answered was sent
     * @return the groups
     */
    public Set<String> groupsInDoubt(Function<String, StoreRevision> promotionRevision, long lastStoreContactNanos) {
        votes.entrySet().removeIf(entry -> {
            Vote vote = entry.getValue();
            return promotionRevision.apply(entry.getKey()).isAfter(vote.promotionRevision())
                    || isExpired(vote.votedNanos(), lastStoreContactNanos);
        });
        return new HashSet<>(votes.keySet());
    }

    private static boolean isExpired(long votedNanos, long lastStoreContactNanos) {
        return lastStoreContactNanos - (votedNanos + VOTE_LIFETIME_NANOS) > 0;
    }
}
