package org.banyanhook.core.replication;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Comparator;

/**
 * A place in the log of a database group: the term of the last entry and its position.
 *
 * <p>Positions order first by term, then by position. Immutable and safe for use by several threads.
 *
 * @param term the term in which the entry was written, 0 for an empty log
 * @param position the number of the entry, counted from 1; 0 for an empty log
 */
public record LogPosition(long term, long position) implements Comparable<LogPosition> {

    /** The place before the first entry of any log. */
    public static final LogPosition START = new LogPosition(0, 0);

    private static final Comparator<LogPosition> ORDER =
            Comparator.comparingLong(LogPosition::term).thenComparingLong(LogPosition::position);

    public LogPosition {
        checkArgument(term >= 0, "term must not be negative, was %s", term);
        checkArgument(position >= 0, "position must not be negative, was %s", position);
    }

    /**
     * Tells whether a log that ends here holds everything up to another place.
     *
     * @param other the place to cover
     * @return true if this place is the same or later
     */
    public boolean covers(LogPosition other) {
        return compareTo(other) >= 0;
    }

    /**
     * Returns the later of two places.
     *
     * @param first one place
     * @param second another place
     * @return the greater by term, then position
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
