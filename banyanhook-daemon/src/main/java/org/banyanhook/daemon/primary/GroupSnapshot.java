package org.banyanhook.daemon.primary;

import java.util.Optional;
import org.banyanhook.core.primary.AgeHistory;
import org.banyanhook.core.primary.BelievedPrimary;
import org.banyanhook.core.primary.GroupView;
import org.banyanhook.core.replication.LogPosition;

/**
 * What request threads see of one database group. Immutable.
 *
 * @param view the observations
 * @param ageBounds where the primary stood when
 * @param primary the believed primary, empty if none is known or new work is held
 * @param durablePosition the highest place known to be on a majority
 * @param oldestRegisteredNanos when the oldest unconfirmed commit began to wait, empty if none waits
 */
record GroupSnapshot(
        GroupView view,
        AgeHistory ageBounds,
        Optional<BelievedPrimary> primary,
        LogPosition durablePosition,
        Optional<Long> oldestRegisteredNanos) {

    /** Tells whether a place is known to be on a majority. */
    boolean isDurable(LogPosition position) {
        return position.term() == durablePosition.term() && durablePosition.covers(position);
    }
}
