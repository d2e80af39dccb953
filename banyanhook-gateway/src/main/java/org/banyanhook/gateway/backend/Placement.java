package org.banyanhook.gateway.backend;

import org.banyanhook.core.replication.PositionHistory;
import org.banyanhook.core.routing.StatementPlacement;
import org.jspecify.annotations.Nullable;

/**
 * Where a piece of work was placed, and on what belief.
 *
 * @param primary whether the member was taken for the primary
 * @param access how the connection was had
 * @param candidates how many members could have run it
 * @param minimumPosition the place that the replica's log must hold and the time for which it holds; null at the
 *     primary
 * @param queuedNanos how long the work waited
 */
public record Placement(
        boolean primary,
        StatementPlacement.Access access,
        int candidates,
        PositionHistory.@Nullable Entry minimumPosition,
        long queuedNanos) {}
