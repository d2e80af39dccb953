package org.banyanhook.core.replication;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;

/**
 * Positions that the primary of a database group had reached at past times of this entry VM's monotonic clock.
 *
 * <p>An entry (time, position) states that every write acknowledged before the time lies at or before the position: the
 * primary reported the position in its answer to a request that was sent at the time. Not thread-safe.
 */
public final class PositionHistory {

    private static final int MAXIMUM_ENTRIES = 256;

    /** An answer to a request sent less than this after the request of the newest entry adds no entry. */
    private static final long MINIMUM_SPACING_NANOS = 20_000_000L;

    private final Deque<Entry> entries = new ArrayDeque<>();

    /**
     * A log position and the time for which it is valid.
     *
     * @param coveredUntilNanos every write acknowledged before this time lies at or before the position
     * @param position the log position
     */
    public record Entry(long coveredUntilNanos, LogPosition position) {}

    /**
     * Records an answer of the primary.
     *
     * @param sentNanos the time at which the request was sent
     * @param position the log position in the answer
     */
    public void recordAnswer(long sentNanos, LogPosition position) {
        Entry newest = entries.peekLast();
        if (newest != null && position.term() < newest.position().term()) {
            return;
        }
        if (newest != null && position.term() > newest.position().term()) {
            // Positions of the old term may have been rolled back; any position of the new term covers what was kept.
            entries.clear();
            newest = null;
        }
        if (newest != null && sentNanos - newest.coveredUntilNanos() < MINIMUM_SPACING_NANOS) {
            return;
        }
        LogPosition latest = newest == null ? position : LogPosition.latest(newest.position(), position);
        entries.addLast(new Entry(sentNanos, latest));
        if (entries.size() > MAXIMUM_ENTRIES) {
            entries.removeFirst();
        }
    }

    /**
     * Returns the earliest entry that covers every write acknowledged before a time.
     *
     * @param notBeforeNanos the time
     * @return the entry, or empty if no answer of the primary is recent enough
     */
    public Optional<Entry> minimumPosition(long notBeforeNanos) {
        for (Iterator<Entry> iterator = entries.iterator(); iterator.hasNext(); ) {
            Entry entry = iterator.next();
            if (entry.coveredUntilNanos() - notBeforeNanos >= 0) {
                return Optional.of(entry);
            }
        }
        return Optional.empty();
    }

    /** Returns the newest entry, or empty if there is none. */
    public Optional<Entry> newest() {
        return Optional.ofNullable(entries.peekLast());
    }

    /** Removes all entries, because the clock does not count the time of a suspension of the machine. */
    public void clear() {
        entries.clear();
    }
}
