package org.banyanhook.core.primary;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * A member's report that it is the primary of its group.
 *
 * @param member the name of the backend server
 * @param observedTerm the highest term that an answer of the member named, 0 if none did yet
 * @param reportRevision the store's revision of the report
 */
public record PrimaryClaim(String member, long observedTerm, long reportRevision) {

    private static final Comparator<PrimaryClaim> ORDER = Comparator.comparingLong(PrimaryClaim::observedTerm)
            .thenComparingLong(PrimaryClaim::reportRevision)
            .thenComparing(PrimaryClaim::member);

    /**
     * Chooses among the members that report to be primary. A superseded primary goes on reporting for a while, so the
     * higher term wins, and among equal terms the later report.
     *
     * @param claims the reports
     * @return the claim to believe, or empty if there is none
     */
    public static Optional<PrimaryClaim> believed(Collection<PrimaryClaim> claims) {
        return claims.stream().max(ORDER);
    }
}
