package org.banyanhook.core.primary;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class PrimaryClaimTest {

    @Test
    void nobodyIsBelievedWithoutAClaim() {
        assertThat(PrimaryClaim.believed(List.of(), 3, Optional.empty())).isEmpty();
    }

    @Test
    void theHigherTermWinsOverTheLaterReport() {
        PrimaryClaim superseded = new PrimaryClaim("a", 3, 90);
        PrimaryClaim leading = new PrimaryClaim("b", 4, 50);
        assertThat(PrimaryClaim.believed(List.of(superseded, leading), 4, Optional.empty()))
                .hasValue(leading);
    }

    @Test
    void aNewClaimIsBelievedBeforeItsTermIsKnown() {
        PrimaryClaim superseded = new PrimaryClaim("a", 1, 50);
        PrimaryClaim unproven = new PrimaryClaim("b", 0, 90);
        assertThat(PrimaryClaim.believed(List.of(superseded, unproven), 2, Optional.empty()))
                .hasValue(unproven);
    }

    @Test
    void aClaimWhoseTermWasSupersededIsNotBelieved() {
        assertThat(PrimaryClaim.believed(List.of(new PrimaryClaim("a", 1, 50)), 2, Optional.empty()))
                .isEmpty();
    }

    @Test
    void amongEqualTermsTheLaterReportWins() {
        PrimaryClaim earlier = new PrimaryClaim("b", 3, 50);
        PrimaryClaim later = new PrimaryClaim("a", 3, 51);
        assertThat(PrimaryClaim.believed(List.of(later, earlier), 3, Optional.empty()))
                .hasValue(later);
    }

    @Test
    void whereAPromotionIsOnRecordOnlyItsMemberIsBelieved() {
        PrimaryClaim promoted = new PrimaryClaim("b", 2, 50);
        PrimaryClaim backAgain = new PrimaryClaim("a", 0, 90);
        assertThat(PrimaryClaim.believed(List.of(promoted, backAgain), 2, Optional.of("b")))
                .hasValue(promoted);
        assertThat(PrimaryClaim.believed(List.of(backAgain), 2, Optional.of("b")))
                .isEmpty();
    }
}
