package org.banyanhook.core.usage;

import static com.google.common.truth.Truth.assertThat;

import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class TrueTimeEstimateTest {

    private static final long EPOCH = 1_767_225_600_000L;

    /** A daemon with a wrong clock would count a part of its requests in the wrong windows. */
    @Test
    void wrongClocksOfAMinorityDoNotMatter() {
        Random random = new Random(20261206);
        for (int round = 0; round < 1_000; round++) {
            int wrong = random.nextInt(4);
            TrueTimeEstimate estimate =
                    new TrueTimeEstimate(0, EPOCH + (wrong > 0 ? random.nextInt(9_000) - 4_500 : 0));
            for (int daemon = 1; daemon < 8; daemon++) {
                long error = daemon < wrong ? random.nextInt(9_000) - 4_500 : random.nextInt(21) - 10;
                long there = random.nextInt(10);
                long back = random.nextInt(10);
                estimate.addSample("vm-" + daemon, 0, nanos(there + back), EPOCH + there + error);
            }
            assertThat(Math.abs(estimate.trueMillis(0) - EPOCH)).isAtMost(20);
        }
    }

    @Test
    void stepOfTheOwnWallClockIsNotFollowed() {
        TrueTimeEstimate estimate = estimateOfEight(0);
        estimate.onClockJump();
        estimate.readOwnClock(nanos(1_000), EPOCH + 1_000 + 60_000);
        assertThat(estimate.trueMillis(nanos(1_000))).isEqualTo(EPOCH + 1_000);
        addSamples(estimate, 1_000, EPOCH + 1_000);
        assertThat(estimate.trueMillis(nanos(1_000))).isEqualTo(EPOCH + 1_000);
    }

    /** The monotonic clock of a suspended machine misses the time, which only other daemons can tell. */
    @Test
    void suspensionIsFollowedOnceOtherDaemonsConfirmIt() {
        TrueTimeEstimate estimate = estimateOfEight(0);
        estimate.onClockJump();
        estimate.readOwnClock(nanos(1_000), EPOCH + 8_000);
        addSamples(estimate, 1_000, EPOCH + 8_000);
        assertThat(estimate.trueMillis(nanos(1_000))).isEqualTo(EPOCH + 8_000);
    }

    /** A reply that waited for a busy daemon would shift the estimate by half of the wait. */
    @Test
    void heldUpReplyDoesNotReplaceAQuickOne() {
        TrueTimeEstimate estimate = new TrueTimeEstimate(0, EPOCH);
        estimate.addSample("vm-1", 0, 0, EPOCH);
        estimate.addSample("vm-1", 0, nanos(2_000), EPOCH + 2_000);
        assertThat(estimate.trueMillis(0)).isEqualTo(EPOCH);
    }

    private static TrueTimeEstimate estimateOfEight(long steadyMillis) {
        TrueTimeEstimate estimate = new TrueTimeEstimate(nanos(steadyMillis), EPOCH);
        addSamples(estimate, steadyMillis, EPOCH);
        return estimate;
    }

    private static void addSamples(TrueTimeEstimate estimate, long steadyMillis, long wallMillis) {
        for (int daemon = 1; daemon < 8; daemon++) {
            estimate.addSample("vm-" + daemon, nanos(steadyMillis), nanos(steadyMillis), wallMillis);
        }
    }

    private static long nanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
