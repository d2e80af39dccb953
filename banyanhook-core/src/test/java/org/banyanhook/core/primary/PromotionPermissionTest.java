package org.banyanhook.core.primary;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.banyanhook.core.primary.PromotionPermission.VoteTally;
import org.junit.jupiter.api.Test;

final class PromotionPermissionTest {

    private static final long AT_ONCE = 0;
    private static final long LONG_AFTER = TimeUnit.SECONDS.toNanos(4);

    @Test
    void grantedAtOnceWhenEveryDaemonHasStopped() {
        assertThat(decide(new VoteTally(8, 8, 0), AT_ONCE)).isEqualTo(PromotionPermission.GRANTED);
    }

    @Test
    void grantedToALoneDaemon() {
        assertThat(decide(VoteTally.EMPTY_FOR_VOTER, AT_ONCE)).isEqualTo(PromotionPermission.GRANTED);
    }

    @Test
    void refusedWhileOneDaemonReachesThePrimary() {
        assertThat(decide(new VoteTally(8, 7, 1), LONG_AFTER)).isEqualTo(PromotionPermission.STILL_REACHED);
    }

    @Test
    void refusedWithoutAMajority() {
        assertThat(decide(new VoteTally(8, 3, 0), LONG_AFTER)).isEqualTo(PromotionPermission.NO_MAJORITY);
    }

    @Test
    void refusedAtHalfOfTheDaemons() {
        assertThat(decide(new VoteTally(7, 3, 0), LONG_AFTER)).isEqualTo(PromotionPermission.NO_MAJORITY);
    }

    @Test
    void waitsWhileADaemonIsSilent() {
        assertThat(decide(new VoteTally(8, 7, 0), AT_ONCE)).isEqualTo(PromotionPermission.SILENT_DAEMONS);
        assertThat(decide(new VoteTally(8, 7, 0), PromotionPermission.CONTACT_TIMEOUT_NANOS))
                .isEqualTo(PromotionPermission.SILENT_DAEMONS);
        assertThat(decide(new VoteTally(8, 7, 0), LONG_AFTER)).isEqualTo(PromotionPermission.GRANTED);
    }

    private static PromotionPermission decide(VoteTally votes, long sinceNanos) {
        return PromotionPermission.decide(votes, sinceNanos);
    }
}
