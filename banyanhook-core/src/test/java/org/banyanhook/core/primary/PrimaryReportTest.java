package org.banyanhook.core.primary;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.banyanhook.core.store.StoreRevision;
import org.junit.jupiter.api.Test;

final class PrimaryReportTest {

    @Test
    void selectsNoneWithoutReports() {
        assertThat(PrimaryReport.selectCurrent(List.of(), 3, Optional.empty())).isEmpty();
    }

    @Test
    void prefersTheHigherTermOverTheLaterReport() {
        PrimaryReport superseded = new PrimaryReport("a", 3, revision(90));
        PrimaryReport leading = new PrimaryReport("b", 4, revision(50));
        assertThat(PrimaryReport.selectCurrent(List.of(superseded, leading), 4, Optional.empty()))
                .hasValue(leading);
    }

    @Test
    void selectsALaterReportWhoseTermIsNotKnown() {
        PrimaryReport superseded = new PrimaryReport("a", 1, revision(50));
        PrimaryReport unknownTerm = new PrimaryReport("b", 0, revision(90));
        assertThat(PrimaryReport.selectCurrent(List.of(superseded, unknownTerm), 2, Optional.empty()))
                .hasValue(unknownTerm);
    }

    @Test
    void ignoresAReportOfASupersededTerm() {
        assertThat(PrimaryReport.selectCurrent(List.of(new PrimaryReport("a", 1, revision(50))), 2, Optional.empty()))
                .isEmpty();
    }

    @Test
    void prefersTheLaterReportAmongEqualTerms() {
        PrimaryReport earlier = new PrimaryReport("b", 3, revision(50));
        PrimaryReport later = new PrimaryReport("a", 3, revision(51));
        assertThat(PrimaryReport.selectCurrent(List.of(later, earlier), 3, Optional.empty()))
                .hasValue(later);
    }

    @Test
    void selectsOnlyTheMemberOfARecordedPromotion() {
        PrimaryReport promoted = new PrimaryReport("b", 2, revision(50));
        PrimaryReport returned = new PrimaryReport("a", 0, revision(90));
        assertThat(PrimaryReport.selectCurrent(List.of(promoted, returned), 2, Optional.of("b")))
                .hasValue(promoted);
        assertThat(PrimaryReport.selectCurrent(List.of(returned), 2, Optional.of("b")))
                .isEmpty();
    }

    private static StoreRevision revision(long number) {
        return new StoreRevision(0, number);
    }
}
