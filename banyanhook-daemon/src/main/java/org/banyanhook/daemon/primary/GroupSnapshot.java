package org.banyanhook.daemon.primary;

import java.util.Optional;
import org.banyanhook.core.primary.DataAgeBounds;
import org.banyanhook.core.primary.GroupView;
import org.banyanhook.core.primary.KnownPrimary;
import org.banyanhook.core.replication.LogPosition;

/**
 * What request threads see of one database group. Immutable.
 *
 * @param view the observations
 * @param ages where the primary stood when
 * @param primary the believed primary, empty if none is known or new work is held
 * @param durable the highest place known to be on a majority
 * @param oldestWaitNanos when the oldest unconfirmed commit began to wait, empty if none waits
 */
record GroupSnapshot(
        GroupView view,
        DataAgeBounds ages,
        Optional<KnownPrimary> primary,
        LogPosition durable,
        Optional<Long> oldestWaitNanos) {

    /** Tells whether a place is known to be on a majority. */
    boolean isDurable(LogPosition position) {
        return position.term() == durable.term() && durable.covers(position);
    }
}
