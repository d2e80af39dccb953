package org.banyanhook.gateway.backend;

import org.banyanhook.core.replication.PositionHistory;
import org.banyanhook.core.scheduling.MemberChoice;
import org.jspecify.annotations.Nullable;

/**
 * The member chosen for a connection request, and the state that the choice was based on.
 *
 * @param primary whether the member was the known primary
 * @param access how the connection was obtained
 * @param candidates how many members qualified
 * @param minimumPosition the position that the replica's log must have reached, and the time up to which it covers all
 *     writes; null at the primary
 * @param queuedNanos how long the request waited
 */
public record Placement(
        boolean primary,
        MemberChoice.Access access,
        int candidates,
        PositionHistory.@Nullable Entry minimumPosition,
        long queuedNanos) {}
