package org.banyanhook.core.primary;

import com.google.common.collect.ImmutableList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.banyanhook.core.replication.LogPosition;

/**
 * Positions that the primary of a group had reached at past times. They bound the age of a replica's data without
 * comparing the clocks of two machines.
 *
 * <p>An entry (time, position) states that every write acknowledged before the time lies at or before the position.
 * Times are readings of the observer's monotonic clock. An entry is valid if the primary and a majority were read in
 * one term by reads that began at or after the time, because no later primary can have acknowledged a write before it.
 * The data of a replica at or past the position is therefore no older than the time. Immutable.
 */
public final class DataAgeBounds {

    /** The age bound of data whose age is unknown. */
    public static final long UNBOUNDED_MILLIS = Long.MAX_VALUE;

    /** The bounds before the first observation. */
    public static final DataAgeBounds EMPTY = new DataAgeBounds(ImmutableList.of());

    private static final int MAXIMUM_ENTRIES = 128;
    private static final long MINIMUM_SPACING_NANOS = 250_000_000L;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final ImmutableList<Entry> entries;

    private DataAgeBounds(ImmutableList<Entry> entries) {
        this.entries = entries;
    }

    /**
     * Adds the latest observations of a group.
     *
     * @param observations the latest observation of each member, at most one per member
     * @param majority the number of members that form a majority of the whole group
     * @return the extended bounds, or this object if the observations prove nothing new
     */
    public DataAgeBounds withObservations(Collection<MemberObservation> observations, int majority) {
        Optional<MemberObservation> primary = observations.stream()
                .filter(observation -> observation.status().role() == MemberRole.PRIMARY)
                .max(Comparator.comparingLong(
                        observation -> observation.status().term()));
        if (primary.isEmpty()) {
            return this;
        }
        long term = primary.get().status().term();
        List<Long> otherReads = observations.stream()
                .filter(observation -> observation != primary.get())
                .filter(observation -> observation.status().term() == term)
                .map(MemberObservation::readBeganNanos)
                .sorted(Comparator.reverseOrder())
                .toList();
        if (otherReads.size() + 1 < majority) {
            return this;
        }
        long coveredUntilNanos = primary.get().readBeganNanos();
        if (majority > 1) {
            coveredUntilNanos = earlier(coveredUntilNanos, otherReads.get(majority - 2));
        }
        return with(new Entry(coveredUntilNanos, primary.get().status().position()));
    }

    private static long earlier(long first, long second) {
        return first - second < 0 ? first : second;
    }

    private DataAgeBounds with(Entry added) {
        if (entries.isEmpty()) {
            return new DataAgeBounds(ImmutableList.of(added));
        }
        Entry newest = entries.get(entries.size() - 1);
        boolean newer = added.coveredUntilNanos() - newest.coveredUntilNanos() > 0;
        if (!newer || !added.position().covers(newest.position())) {
            return this;
        }
        boolean replacesNewest = added.position().equals(newest.position()) || isCloseToPredecessor(newest);
        int kept = replacesNewest ? entries.size() - 1 : entries.size();
        int first = Math.max(0, kept + 1 - MAXIMUM_ENTRIES);
        return new DataAgeBounds(ImmutableList.<Entry>builder()
                .addAll(entries.subList(first, kept))
                .add(added)
                .build());
    }

    private boolean isCloseToPredecessor(Entry newest) {
        if (entries.size() < 2) {
            return false;
        }
        Entry predecessor = entries.get(entries.size() - 2);
        return newest.coveredUntilNanos() - predecessor.coveredUntilNanos() < MINIMUM_SPACING_NANOS;
    }

    /**
     * Returns an upper bound of the age of data.
     *
     * @param position the log position that the data has reached
     * @param nowNanos the reading of the observer's monotonic clock
     * @return the bound in milliseconds, rounded up; {@link #UNBOUNDED_MILLIS} if no observation bounds the age
     */
    public long ageBoundMillis(LogPosition position, long nowNanos) {
        for (Entry entry : entries.reverse()) {
            if (position.covers(entry.position())) {
                long ageNanos = Math.max(0, nowNanos - entry.coveredUntilNanos());
                return Math.floorDiv(ageNanos + NANOS_PER_MILLI - 1, NANOS_PER_MILLI);
            }
        }
        return UNBOUNDED_MILLIS;
    }

    private record Entry(long coveredUntilNanos, LogPosition position) {}
}
