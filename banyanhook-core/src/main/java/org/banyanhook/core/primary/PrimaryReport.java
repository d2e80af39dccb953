package org.banyanhook.core.primary;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import org.banyanhook.core.store.StoreRevision;

/**
 * A member's report that it is the primary of its group.
 *
 * @param member the name of the backend server
 * @param observedTerm the term in the member's last answer since it began to report this role, 0 if it has not answered
 * @param reportRevision the revision of the report in the store
 */
public record PrimaryReport(String member, long observedTerm, StoreRevision reportRevision) {

    private static final Comparator<PrimaryReport> BY_REVISION =
            Comparator.comparing(PrimaryReport::reportRevision).thenComparing(PrimaryReport::member);

    /**
     * Selects the current primary among the members that report to be primary.
     *
     * <p>A superseded primary continues to report this role for a while, and reports it again after its store entry has
     * expired. If a promotion is recorded, only the recorded member is selected. Otherwise, a superseded primary is
     * recognized by the term in its answers, or else by a later report of another member.
     *
     * @param reports the reports
     * @param highestTerm the highest term that any member of the group has reported
     * @param recordedMember the member named by the last recorded promotion, or empty if none is recorded
     * @return the report of the current primary, or empty if there is none
     */
    public static Optional<PrimaryReport> selectCurrent(
            Collection<PrimaryReport> reports, long highestTerm, Optional<String> recordedMember) {
        return reports.stream()
                .filter(report ->
                        recordedMember.isEmpty() || recordedMember.get().equals(report.member()))
                .filter(report -> report.observedTerm() == 0 || report.observedTerm() >= highestTerm)
                .max(BY_REVISION);
    }
}
