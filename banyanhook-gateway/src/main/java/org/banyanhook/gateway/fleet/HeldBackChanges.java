package org.banyanhook.gateway.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.banyanhook.gateway.port.FleetRecord;
import org.banyanhook.gateway.port.StoreRecord;
import org.jspecify.annotations.Nullable;

/**
 * Changes that a daemon found when it read the copy that the store was restored from, and that contradict what members
 * and operators had written later. They write again within about two seconds of the restore; until then the copy would
 * name a former primary, return a leaving member or a failure domain that was taken out, and cause replacements of
 * healthy primaries. A held back change applies after a while unless the record is written again. Used on the event
 * loop only.
 */
final class HeldBackChanges {

    private final Map<String, HeldBack> changes = new HashMap<>();

    private record HeldBack(StoreRecord change, long untilNanos) {}

    /**
     * Returns whether a change has to be held back.
     *
     * @param known the record known from an earlier era, or null if it is known to have been removed
     * @param found the record of the copy, or null if the copy has none
     */
    static boolean contradicts(@Nullable FleetRecord known, @Nullable FleetRecord found) {
        if (known instanceof FleetRecord.Member member) {
            return found instanceof FleetRecord.Member && !member.equals(found);
        }
        return known instanceof FleetRecord.Evacuation ? found == null : known == null && isEvacuation(found);
    }

    private static boolean isEvacuation(@Nullable FleetRecord record) {
        return record instanceof FleetRecord.Evacuation;
    }

    /**
     * Holds a change back. A change of the same record that is held back already is replaced, but not for longer.
     *
     * @param change the change
     * @param untilNanos when it applies
     */
    void hold(StoreRecord change, long untilNanos) {
        changes.merge(
                change.key(),
                new HeldBack(change, untilNanos),
                (before, after) -> new HeldBack(after.change(), before.untilNanos()));
    }

    /** Discards the held back change of a record, because a later change of the record applies. */
    void discard(String key) {
        changes.remove(key);
    }

    /** Removes and returns the changes that apply now. */
    List<StoreRecord> takeDue(long nowNanos) {
        if (changes.isEmpty()) {
            return List.of();
        }
        List<StoreRecord> due = new ArrayList<>();
        changes.values().removeIf(held -> nowNanos - held.untilNanos() >= 0 && due.add(held.change()));
        return due;
    }
}
