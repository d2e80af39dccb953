package org.banyanhook.core.primary;

import java.util.Collection;
import org.banyanhook.core.replication.LogPosition;

/** Determines whether a majority of a database group holds a log position. */
public final class MajorityConfirmation {

    private MajorityConfirmation() {}

    /**
     * Evaluates the observations of a group.
     *
     * @param observations the latest observation of each member, at most one per member
     * @param majority the number of members that form a majority of the whole group
     * @param target the log position to confirm
     * @param afterNanos only reads that began after this time count as confirmations
     * @return the result
     */
    public static ConfirmationResult evaluate(
            Collection<MemberObservation> observations, int majority, LogPosition target, long afterNanos) {
        int holding = 0;
        int inLaterTerm = 0;
        for (MemberObservation observation : observations) {
            boolean readInTime = observation.readBeganNanos() - afterNanos > 0;
            if (readInTime && observation.status().confirms(target)) {
                holding++;
            }
            if (observation.status().term() > target.term()) {
                inLaterTerm++;
            }
        }
        if (holding >= majority) {
            return ConfirmationResult.CONFIRMED;
        }
        return inLaterTerm >= majority ? ConfirmationResult.SUPERSEDED : ConfirmationResult.WAITING;
    }

    /**
     * Returns the highest log position of a term that a majority holds, regardless of when the members were read. Such
     * a position can no longer be lost.
     *
     * @param observations the latest observation of each member, at most one per member
     * @param majority the number of members that form a majority of the whole group
     * @param term the term
     * @return the position, {@link LogPosition#START} if no majority holds an entry of the term
     */
    public static LogPosition durablePosition(Collection<MemberObservation> observations, int majority, long term) {
        long[] positions = observations.stream()
                .map(MemberObservation::status)
                .filter(status -> status.confirms(new LogPosition(term, 0)))
                .mapToLong(status -> status.position().position())
                .sorted()
                .toArray();
        if (positions.length < majority) {
            return LogPosition.START;
        }
        return new LogPosition(term, positions[positions.length - majority]);
    }
}
