package org.banyanhook.daemon.primary;

import java.util.Optional;
import org.banyanhook.core.primary.DataAgeBounds;
import org.banyanhook.core.primary.GroupView;
import org.banyanhook.core.primary.KnownPrimary;
import org.banyanhook.core.replication.LogPosition;

/**
 * The state of one database group as visible to request threads. Immutable.
 *
 * @param view the latest observation of each member
 * @param ageBounds the history of the primary's log positions, from which bounds of data ages are computed
 * @param primary the known primary, or empty if none is known or new requests are held
 * @param durablePosition the highest log position known to be on a majority of the members
 * @param oldestRegisteredNanos when the oldest pending confirmation was requested, or empty if none is pending
 */
record GroupSnapshot(
        GroupView view,
        DataAgeBounds ageBounds,
        Optional<KnownPrimary> primary,
        LogPosition durablePosition,
        Optional<Long> oldestRegisteredNanos) {

    /** Returns whether a log position is known to be on a majority of the members. */
    boolean isDurable(LogPosition position) {
        return position.term() == durablePosition.term() && durablePosition.covers(position);
    }
}
