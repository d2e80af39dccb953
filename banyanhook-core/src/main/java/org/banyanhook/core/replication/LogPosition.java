package org.banyanhook.core.replication;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Comparator;

/**
 * A position in the log of a database group: the term and the number of the last entry.
 *
 * <p>Positions are ordered by term, then by entry number. Immutable and thread-safe.
 *
 * @param term the term in which the entry was written, 0 for an empty log
 * @param position the number of the entry, counted from 1; 0 for an empty log
 */
public record LogPosition(long term, long position) implements Comparable<LogPosition> {

    /** The position before the first entry of any log. */
    public static final LogPosition START = new LogPosition(0, 0);

    private static final Comparator<LogPosition> ORDER =
            Comparator.comparingLong(LogPosition::term).thenComparingLong(LogPosition::position);

    public LogPosition {
        checkArgument(term >= 0, "term must not be negative, was %s", term);
        checkArgument(position >= 0, "position must not be negative, was %s", position);
    }

    /**
     * Returns whether a log that ends at this position contains everything up to another position.
     *
     * @param other the other position
     * @return true if this position is equal to or later than the other
     */
    public boolean covers(LogPosition other) {
        return compareTo(other) >= 0;
    }

    /**
     * Returns the later of two positions.
     *
     * @param first one position
     * @param second another position
     * @return the greater by term, then by entry number
     */
    public static LogPosition latest(LogPosition first, LogPosition second) {
        return first.covers(second) ? first : second;
    }

    @Override
    public int compareTo(LogPosition other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return term + ":" + position;
    }
}
