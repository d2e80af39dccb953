package org.banyanhook.gateway.primary;

import com.google.common.collect.Sets;
import java.util.Set;
import org.banyanhook.core.replication.LogPosition;
import org.banyanhook.core.store.StoreRevision;

/**
 * The approval of a replacement by the other daemons.
 *
 * @param requestedNanos when the votes were requested
 * @param era the era of the store in which they were requested
 * @param votersRevision the revision of the record of the voters that were counted, or none
 * @param unresponsive the daemons that did not answer and may still use the old primary
 * @param shutOut the daemons that did not answer and whose contact to the store has ended since
 * @param targetPosition the log position that the new primary should have reached
 */
record QuorumApproval(
        long requestedNanos,
        long era,
        StoreRevision votersRevision,
        Set<String> unresponsive,
        Set<String> shutOut,
        LogPosition targetPosition) {

    /** Returns this approval with the votes of a later round, after the unresponsive daemons have been shut out. */
    QuorumApproval renewedBy(QuorumApproval later) {
        return new QuorumApproval(
                later.requestedNanos,
                era,
                later.votersRevision,
                Set.of(),
                Sets.union(unresponsive, shutOut),
                targetPosition);
    }

    QuorumApproval withTargetPosition(LogPosition position) {
        return new QuorumApproval(requestedNanos, era, votersRevision, unresponsive, shutOut, position);
    }
}
