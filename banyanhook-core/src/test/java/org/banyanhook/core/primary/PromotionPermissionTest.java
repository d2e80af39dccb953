package org.banyanhook.core.primary;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.banyanhook.core.primary.PromotionPermission.VoteTally;
import org.junit.jupiter.api.Test;

final class PromotionPermissionTest {

    private static final long NOT_RECORDED = 0;
    private static final long RECORDED_FOR_4_SECONDS = TimeUnit.SECONDS.toNanos(4);

    @Test
    void grantsImmediatelyWhenEveryDaemonHasStopped() {
        assertThat(decide(new VoteTally(8, 8, 0), NOT_RECORDED)).isEqualTo(PromotionPermission.GRANTED);
    }

    @Test
    void grantsToTheOnlyDaemon() {
        assertThat(decide(VoteTally.EMPTY, NOT_RECORDED)).isEqualTo(PromotionPermission.GRANTED);
    }

    @Test
    void refusesWhileOneDaemonReachesThePrimary() {
        assertThat(decide(new VoteTally(8, 7, 1), RECORDED_FOR_4_SECONDS)).isEqualTo(PromotionPermission.STILL_REACHED);
    }

    @Test
    void refusesWithoutEnoughVoters() {
        assertThat(PromotionPermission.decide(new VoteTally(8, 3, 0), false, RECORDED_FOR_4_SECONDS))
                .isEqualTo(PromotionPermission.NO_MAJORITY);
    }

    @Test
    void waitsWhileADaemonDoesNotAnswer() {
        assertThat(decide(new VoteTally(8, 7, 0), NOT_RECORDED)).isEqualTo(PromotionPermission.SILENT_DAEMONS);
        assertThat(decide(new VoteTally(8, 7, 0), PromotionPermission.CONTACT_TIMEOUT_NANOS))
                .isEqualTo(PromotionPermission.SILENT_DAEMONS);
        assertThat(decide(new VoteTally(8, 7, 0), RECORDED_FOR_4_SECONDS)).isEqualTo(PromotionPermission.GRANTED);
    }

    private static PromotionPermission decide(VoteTally votes, long recordedForNanos) {
        return PromotionPermission.decide(votes, true, recordedForNanos);
    }
}
