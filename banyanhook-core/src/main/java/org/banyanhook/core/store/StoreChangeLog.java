package org.banyanhook.core.store;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The latest changes that a reader's own watch of the store returned, from which it answers the watches of other
 * daemons. All changes after the oldest revision that is kept are present, up to the newest one. Not thread-safe.
 *
 * <p>Load pattern: in a large fleet each heartbeat of a member and each entry of a daemon ends the watches of all
 * daemons, each of which costs a call to the store.
 *
 * @param <C> a change
 */
public final class StoreChangeLog<C> {

    /**
     * How long ago the last answered watch may have been sent for the log to count as current. It exceeds the time
     * between two watches of a reader ({@link StoreReaders#READER_WATCH_WAIT} twice and
     * {@link StoreReaders#READER_COALESCE}) by the time that a slow store takes to answer, and bounds by how much a
     * reader that was frozen or cut off from the store delays a change.
     */
    public static final Duration MAXIMUM_AGE = Duration.ofMillis(2_400);

    private final int maximumChanges;
    private final long maximumBytes;
    private final Deque<Change<C>> changes = new ArrayDeque<>();
    private long bytes;
    private @Nullable StoreRevision oldest;
    private StoreRevision newest = StoreRevision.NONE;
    private long heardNanos;
    private boolean hasPaused;
    private long resumedNanos;

    /**
     * A change of one record.
     *
     * @param revision the revision of the change
     * @param bytes the approximate size of the change in memory and in a message
     * @param content the change
     */
    public record Change<C>(StoreRevision revision, int bytes, C content) {}

    /** Whether a watch can be answered. */
    public enum Coverage {
        /** The changes are complete; there may be none yet. */
        COMPLETE,
        /** The asking daemon has read further; the log may reach its revision soon. */
        BEHIND,
        /** The log does not reach back as far, is of another era, or is not current. */
        UNAVAILABLE
    }

    /**
     * The changes after a revision.
     *
     * @param coverage whether the changes are complete
     * @param changes the changes in the order of their revisions; empty unless complete
     * @param revision the revision up to which the changes are complete
     */
    public record Changes<C>(Coverage coverage, List<C> changes, StoreRevision revision) {
        public Changes {
            changes = List.copyOf(changes);
        }
    }

    /**
     * Creates an empty log.
     *
     * @param maximumChanges the maximum number of changes that are kept
     * @param maximumBytes the maximum size of the changes that are kept
     */
    public StoreChangeLog(int maximumChanges, long maximumBytes) {
        checkArgument(maximumChanges > 0, "maximumChanges must be positive, was %s", maximumChanges);
        checkArgument(maximumBytes > 0, "maximumBytes must be positive, was %s", maximumBytes);
        this.maximumChanges = maximumChanges;
        this.maximumBytes = maximumBytes;
    }

    /**
     * Adds an answer of the store to a watch of this daemon. An answer that ends before the newest revision is of a
     * watch that was replaced by a later one, and is ignored. An answer that does not continue the log starts it anew.
     *
     * @param after the revision from which the watch was sent
     * @param upTo the revision up to which the answer is complete
     * @param answered the changes of the answer
     * @param sentNanos when the watch was sent; the answer shows the store no earlier than this
     */
    public void append(StoreRevision after, StoreRevision upTo, List<Change<C>> answered, long sentNanos) {
        StoreRevision end = upTo.isAfter(after) ? upTo : after;
        StoreRevision first = oldest;
        if (end.era() != after.era()) {
            // The changes do not follow a revision of their era.
            clear();
            return;
        }
        if (first != null && newest.isAfter(end)) {
            return;
        }
        if (first == null || after.era() != newest.era() || first.isAfter(after) || after.isAfter(newest)) {
            clear();
            oldest = after;
            newest = after;
            heardNanos = sentNanos;
        }
        answered.stream()
                .filter(change ->
                        change.revision().isAfter(newest) && !change.revision().isAfter(end))
                .sorted(Comparator.comparing(Change::revision))
                .forEach(change -> {
                    changes.addLast(change);
                    bytes += change.bytes();
                });
        newest = end;
        heardNanos = sentNanos - heardNanos > 0 ? sentNanos : heardNanos;
        while (changes.size() > maximumChanges || bytes > maximumBytes) {
            Change<C> removed = changes.removeFirst();
            bytes -= removed.bytes();
            oldest = removed.revision();
        }
    }

    /** Removes all changes, so that no watch can be answered before the store has answered again. */
    public void clear() {
        changes.clear();
        bytes = 0;
        oldest = null;
        newest = StoreRevision.NONE;
    }

    /**
     * Records that this daemon has been paused. No watch is answered until the store has answered one that was sent
     * afterwards, since the answers that waited for this daemon may be as old as the pause.
     *
     * @param nowNanos the time
     */
    public void recordPause(long nowNanos) {
        hasPaused = true;
        resumedNanos = nowNanos;
    }

    /**
     * Returns the changes after a revision.
     *
     * @param after the revision up to which the asking daemon has read
     * @param newestEra the newest era of the store that this daemon has seen
     * @param nowNanos the time
     */
    public Changes<C> since(StoreRevision after, long newestEra, long nowNanos) {
        StoreRevision first = oldest;
        if (first == null
                || remainingNanos(nowNanos) < 0
                || (hasPaused && heardNanos - resumedNanos < 0)
                || newest.era() != newestEra
                || after.era() != newestEra
                || first.isAfter(after)) {
            return new Changes<>(Coverage.UNAVAILABLE, List.of(), newest);
        }
        if (after.isAfter(newest)) {
            return new Changes<>(Coverage.BEHIND, List.of(), newest);
        }
        List<C> found = changes.stream()
                .filter(change -> change.revision().isAfter(after))
                .map(Change::content)
                .toList();
        return new Changes<>(Coverage.COMPLETE, found, newest);
    }

    /**
     * Returns for how long the log counts as current if the store does not answer; negative if it no longer does. Only
     * meaningful while the log is not empty.
     *
     * @param nowNanos the time
     */
    public long remainingNanos(long nowNanos) {
        return MAXIMUM_AGE.toNanos() - (nowNanos - heardNanos);
    }
}
