package org.banyanhook.core.primary;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

final class PrimaryClaimTest {

    @Test
    void nobodyIsBelievedWithoutAClaim() {
        assertThat(PrimaryClaim.believed(List.of())).isEmpty();
    }

    @Test
    void theHigherTermWinsOverTheLaterReport() {
        PrimaryClaim superseded = new PrimaryClaim("a", 3, 90);
        PrimaryClaim leading = new PrimaryClaim("b", 4, 50);
        assertThat(PrimaryClaim.believed(List.of(superseded, leading))).hasValue(leading);
    }

    @Test
    void amongEqualTermsTheLaterReportWins() {
        PrimaryClaim earlier = new PrimaryClaim("b", 3, 50);
        PrimaryClaim later = new PrimaryClaim("a", 3, 51);
        assertThat(PrimaryClaim.believed(List.of(later, earlier))).hasValue(later);
    }
}
