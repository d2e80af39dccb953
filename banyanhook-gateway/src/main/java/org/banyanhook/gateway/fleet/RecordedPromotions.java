package org.banyanhook.gateway.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.banyanhook.core.primary.UnresolvedPromotions.RecordedPromotion;
import org.banyanhook.core.store.StoreRevision;
import org.banyanhook.gateway.port.FleetRecord;

/**
 * The last known promotion of each group, and the one that the store holds. The two differ after the store was restored
 * from a copy that lacks the last promotion, which stays known, since the members keep its term. Used on the event loop
 * only.
 */
final class RecordedPromotions {

    private final Map<String, RecordedPromotion> known = new HashMap<>();
    private final Map<String, StoreRevision> stored = new HashMap<>();

    /**
     * Applies a record. The copy's record of an older promotion does not replace a later one.
     *
     * @param found the record
     * @param revision its revision
     * @param nowNanos the time
     * @return whether the promotion of the group is the one of the record now
     */
    boolean apply(FleetRecord.Promotion found, StoreRevision revision, long nowNanos) {
        StoreRevision recordedAt = found.recordedAt(revision);
        stored.put(found.group(), recordedAt);
        if (revision(found.group()).isAfter(recordedAt)) {
            return false;
        }
        known.put(found.group(), new RecordedPromotion(found.member(), recordedAt, nowNanos));
        return true;
    }

    /** Records that the store holds no record of a group any more. */
    void recordRemoval(String group) {
        stored.remove(group);
    }

    /** Returns the last known promotion of a group, or empty if none is known. */
    Optional<RecordedPromotion> of(String group) {
        return Optional.ofNullable(known.get(group));
    }

    /** Returns the revision at which the last known promotion was recorded, or none. */
    StoreRevision revision(String group) {
        RecordedPromotion recorded = known.get(group);
        return recorded == null ? StoreRevision.NONE : recorded.revision();
    }

    /** Returns the newest revision at which a known promotion was recorded, or none. */
    StoreRevision newestRevision() {
        return known.values().stream()
                .map(RecordedPromotion::revision)
                .max(StoreRevision::compareTo)
                .orElse(StoreRevision.NONE);
    }

    /** Returns the groups with a promotion that was recorded after a revision. */
    Set<String> groupsSince(StoreRevision revision) {
        Set<String> groups = new HashSet<>();
        known.forEach((group, recorded) -> {
            if (recorded.revision().isAfter(revision)) {
                groups.add(group);
            }
        });
        return groups;
    }

    /**
     * Returns the known promotions of earlier eras that the store does not hold any more.
     *
     * @param era the era of the store
     */
    Set<FleetRecord.Promotion> lostSince(long era) {
        Set<FleetRecord.Promotion> lost = new HashSet<>();
        known.forEach((group, recorded) -> {
            StoreRevision held = stored.getOrDefault(group, StoreRevision.NONE);
            if (recorded.revision().era() < era && recorded.revision().isAfter(held)) {
                lost.add(new FleetRecord.Promotion(group, recorded.member(), recorded.revision()));
            }
        });
        return lost;
    }
}
