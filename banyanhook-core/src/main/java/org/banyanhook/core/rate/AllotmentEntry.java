package org.banyanhook.core.rate;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import java.util.Collections;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The allotment of one entry VM: the units that it holds of its failure domain's rates. Immutable.
 *
 * @param entryVm the name of the holder
 * @param incarnation the start time in milliseconds of the process that holds the allotment
 * @param units the units held in each group of client accounts, out of {@link AllotmentRecord#UNITS_PER_GROUP}
 * @param mark the reclaim mark, or null if no entry VM attempts to reclaim the allotment
 */
public record AllotmentEntry(
        String entryVm,
        long incarnation,
        List<Integer> units,
        @Nullable ReclaimMark mark) {

    public AllotmentEntry {
        checkArgument(
                units.size() == AllotmentRecord.GROUP_COUNT,
                "allotment of %s must have %s groups, but has %s",
                entryVm,
                AllotmentRecord.GROUP_COUNT,
                units.size());
        checkArgument(
                units.stream().allMatch(count -> count >= 0 && count <= AllotmentRecord.UNITS_PER_GROUP),
                "units of %s must be from 0 to %s in every group",
                entryVm,
                AllotmentRecord.UNITS_PER_GROUP);
        units = ImmutableList.copyOf(units);
    }

    /** Creates an unmarked allotment without units. */
    public static AllotmentEntry empty(String entryVm, long incarnation) {
        return new AllotmentEntry(entryVm, incarnation, Collections.nCopies(AllotmentRecord.GROUP_COUNT, 0), null);
    }

    /** Returns whether the given process holds this allotment. */
    public boolean isHeldBy(String name, long holderIncarnation) {
        return entryVm.equals(name) && incarnation == holderIncarnation;
    }

    /** Returns a copy with other units. */
    public AllotmentEntry withUnits(List<Integer> newUnits) {
        return new AllotmentEntry(entryVm, incarnation, newUnits, mark);
    }

    /** Returns a copy with another reclaim mark, or without one if null. */
    public AllotmentEntry withMark(@Nullable ReclaimMark newMark) {
        return new AllotmentEntry(entryVm, incarnation, units, newMark);
    }

    /** Returns an unmarked copy that is held by a later process of the same name. */
    public AllotmentEntry takenOverBy(long newIncarnation) {
        return new AllotmentEntry(entryVm, newIncarnation, units, null);
    }
}
