package org.banyanhook.core.rate;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import java.util.Collections;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * What one entry VM holds of its failure domain's rates. Immutable.
 *
 * @param entryVm the name of the holder
 * @param incarnation the start time in milliseconds of the process that holds it
 * @param units for each group of client accounts, the units held of {@link AllotmentRecord#UNITS_PER_GROUP}
 * @param mark set while somebody wants to take the allotment back, else null
 */
public record AllotmentEntry(
        String entryVm,
        long incarnation,
        List<Integer> units,
        @Nullable ReclaimMark mark) {

    public AllotmentEntry {
        checkArgument(
                units.size() == AllotmentRecord.GROUP_COUNT,
                "allotment of %s must have %s groups, has %s",
                entryVm,
                AllotmentRecord.GROUP_COUNT,
                units.size());
        checkArgument(
                units.stream().allMatch(count -> count >= 0 && count <= AllotmentRecord.UNITS_PER_GROUP),
                "units of %s must be from 0 to %s",
                entryVm,
                AllotmentRecord.UNITS_PER_GROUP);
        units = ImmutableList.copyOf(units);
    }

    /** Creates an unmarked allotment of no units. */
    public static AllotmentEntry empty(String entryVm, long incarnation) {
        return new AllotmentEntry(entryVm, incarnation, Collections.nCopies(AllotmentRecord.GROUP_COUNT, 0), null);
    }

    /** Returns whether this is held by a given process. */
    public boolean isHeldBy(String name, long holderIncarnation) {
        return entryVm.equals(name) && incarnation == holderIncarnation;
    }

    /** Returns the same allotment with other units. */
    public AllotmentEntry withUnits(List<Integer> newUnits) {
        return new AllotmentEntry(entryVm, incarnation, newUnits, mark);
    }

    /** Returns the same allotment with a mark, or without one if null. */
    public AllotmentEntry withMark(@Nullable ReclaimMark newMark) {
        return new AllotmentEntry(entryVm, incarnation, units, newMark);
    }

    /** Returns the same units held by a later process of the same name, unmarked. */
    public AllotmentEntry takenOverBy(long newIncarnation) {
        return new AllotmentEntry(entryVm, newIncarnation, units, null);
    }
}
