package org.banyanhook.core.replication;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;

/**
 * Where the primary of a database group stood at which time of this entry VM's monotonic clock.
 *
 * <p>An entry (time, place) says that every write acknowledged before the time lies at or before the place: the primary
 * reported the place in the answer to a request that was sent at the time. Not safe for use by several threads.
 */
public final class PositionHistory {

    private static final int MAXIMUM_ENTRIES = 256;

    /** Entries closer together than this are merged, in nanoseconds. */
    private static final long MINIMUM_SPACING_NANOS = 20_000_000L;

    private final Deque<Entry> entries = new ArrayDeque<>();

    /**
     * A place with the time for which it holds.
     *
     * @param coveredUntilNanos every write acknowledged before this time is covered
     * @param position the place
     */
    public record Entry(long coveredUntilNanos, LogPosition position) {}

    /**
     * Takes in an answer of the primary.
     *
     * @param sentNanos when the request was sent
     * @param position the place that the answer reported
     */
    public void record(long sentNanos, LogPosition position) {
        Entry newest = entries.peekLast();
        if (newest != null && position.term() < newest.position().term()) {
            return;
        }
        if (newest != null && position.term() > newest.position().term()) {
            // Places of the old term may have been rolled back; any place of the new term covers what was kept.
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
     * Finds the earliest place that covers every write acknowledged before a time.
     *
     * @param notBeforeNanos the time
     * @return the place, or empty if no answer of the primary is recent enough
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

    /** Returns the newest entry, or empty. */
    public Optional<Entry> newest() {
        return Optional.ofNullable(entries.peekLast());
    }

    /** Forgets all entries, because the clock did not count a suspension of the machine. */
    public void clear() {
        entries.clear();
    }
}
