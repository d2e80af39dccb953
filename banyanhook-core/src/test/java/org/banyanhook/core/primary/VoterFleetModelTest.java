package org.banyanhook.core.primary;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import org.junit.jupiter.api.Test;

final class VoterFleetModelTest {

    private static final int SEEDS = 60;
    private static final long PLAYED_SECONDS = 400;

    /**
     * Guards against two majorities of the daemons without a daemon in common (review cases 11, 12 and 15): machines
     * join, restart or leave while a region is cut off or the store does not answer.
     */
    @Test
    void noDaemonUsesAReplacedPrimary() {
        int promotions = 0;
        int relianceSteps = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            VoterFleetModel model = new VoterFleetModel(seed);
            assertWithMessage("seed %s", seed).that(model.play(PLAYED_SECONDS)).isEmpty();
            promotions += model.promotions();
            relianceSteps += model.relianceSteps();
        }
        assertThat(promotions).isAtLeast(SEEDS);
        assertThat(relianceSteps).isAtLeast(SEEDS);
    }
}
