package org.banyanhook.core.primary;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class PrimaryReportTest {

    @Test
    void nobodyIsBelievedWithoutAClaim() {
        assertThat(PrimaryReport.selectCurrent(List.of(), 3, Optional.empty())).isEmpty();
    }

    @Test
    void theHigherTermWinsOverTheLaterReport() {
        PrimaryReport superseded = new PrimaryReport("a", 3, 90);
        PrimaryReport leading = new PrimaryReport("b", 4, 50);
        assertThat(PrimaryReport.selectCurrent(List.of(superseded, leading), 4, Optional.empty()))
                .hasValue(leading);
    }

    @Test
    void aNewClaimIsBelievedBeforeItsTermIsKnown() {
        PrimaryReport superseded = new PrimaryReport("a", 1, 50);
        PrimaryReport unproven = new PrimaryReport("b", 0, 90);
        assertThat(PrimaryReport.selectCurrent(List.of(superseded, unproven), 2, Optional.empty()))
                .hasValue(unproven);
    }

    @Test
    void aClaimWhoseTermWasSupersededIsNotBelieved() {
        assertThat(PrimaryReport.selectCurrent(List.of(new PrimaryReport("a", 1, 50)), 2, Optional.empty()))
                .isEmpty();
    }

    @Test
    void amongEqualTermsTheLaterReportWins() {
        PrimaryReport earlier = new PrimaryReport("b", 3, 50);
        PrimaryReport later = new PrimaryReport("a", 3, 51);
        assertThat(PrimaryReport.selectCurrent(List.of(later, earlier), 3, Optional.empty()))
                .hasValue(later);
    }

    @Test
    void whereAPromotionIsOnRecordOnlyItsMemberIsBelieved() {
        PrimaryReport promoted = new PrimaryReport("b", 2, 50);
        PrimaryReport backAgain = new PrimaryReport("a", 0, 90);
        assertThat(PrimaryReport.selectCurrent(List.of(promoted, backAgain), 2, Optional.of("b")))
                .hasValue(promoted);
        assertThat(PrimaryReport.selectCurrent(List.of(backAgain), 2, Optional.of("b")))
                .isEmpty();
    }
}
