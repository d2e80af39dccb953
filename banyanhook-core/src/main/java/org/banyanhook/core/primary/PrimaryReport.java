package org.banyanhook.core.primary;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * A member's report that it is the primary of its group.
 *
 * @param member the name of the backend server
 * @param observedTerm the term of the member's last answer since it began to report so, 0 if none came yet
 * @param reportRevision the store's revision of the report
 */
public record PrimaryReport(String member, long observedTerm, long reportRevision) {

    private static final Comparator<PrimaryReport> BY_REVISION =
            Comparator.comparingLong(PrimaryReport::reportRevision).thenComparing(PrimaryReport::member);

    /**
     * Chooses among the members that report to be primary. A superseded primary goes on reporting for a while, also
     * anew after its entry lapsed. Where a promotion is on record, only the recorded member is believed. Otherwise a
     * superseded primary is known by the term of its answers, and else by a later report of another member.
     *
     * @param reports the reports
     * @param highestTerm the highest term that any member of the group has named
     * @param recordedMember the member that the last recorded promotion names, or empty if none is on record
     * @return the claim to believe, or empty if there is none
     */
    public static Optional<PrimaryReport> selectCurrent(
            Collection<PrimaryReport> reports, long highestTerm, Optional<String> recordedMember) {
        return reports.stream()
                .filter(claim ->
                        recordedMember.isEmpty() || recordedMember.get().equals(claim.member()))
                .filter(claim -> claim.observedTerm() == 0 || claim.observedTerm() >= highestTerm)
                .max(BY_REVISION);
    }
}
