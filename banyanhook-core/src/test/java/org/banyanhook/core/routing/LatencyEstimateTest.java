package org.banyanhook.core.routing;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Tests that the estimate follows slow and fast answers and decays without answers. */
final class LatencyEstimateTest {

    private static final long MILLI = 1_000_000L;

    private final LatencyEstimate estimate = new LatencyEstimate(10 * MILLI, 0);

    @Test
    void beforeAnyAnswerTheInitialLatencyIsExpected() {
        assertThat(estimate.expectedMillis(0)).isWithin(1e-9).of(10);
    }

    @Test
    void slowAnswersRaiseTheEstimate() {
        for (int answer = 0; answer < 20; answer++) {
            estimate.recordLatency(100 * MILLI, answer * MILLI);
        }
        assertThat(estimate.expectedMillis(20 * MILLI)).isGreaterThan(80.0);
    }

    @Test
    void withoutAnswersTheEstimateDecaysToTheMinimumLatency() {
        estimate.recordLatency(500 * MILLI, 0);
        assertThat(estimate.expectedMillis(10_000 * MILLI)).isWithin(0.1).of(10);
    }

    @Test
    void fasterAnswersLowerTheMinimumLatency() {
        estimate.recordLatency(2 * MILLI, 0);
        assertThat(estimate.expectedMillis(10_000 * MILLI)).isWithin(0.1).of(2);
    }
}
