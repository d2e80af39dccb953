package org.banyanhook.core.execution;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class ShutdownScheduleTest {

    private static final long START_NANOS = Long.MAX_VALUE - 1_000;
    private static final ShutdownSchedule SCHEDULE = ShutdownSchedule.startingAt(START_NANOS, 6_000);

    /** A statement sent shortly before the end of the process would be cut off without an answer. */
    @Test
    void statementNeedsItsWholeTimeoutBeforeTheEnd() {
        assertThat(leavesTimeAfter(4_000, 1_000)).isTrue();
        assertThat(leavesTimeAfter(4_001, 1_000)).isFalse();
        assertThat(leavesTimeAfter(4_999, 1_000)).isFalse();
    }

    @Test
    void everyStatementRunsInTheFirstHalfOfTheGracePeriod() {
        assertThat(leavesTimeAfter(2_999, 60_000)).isTrue();
        assertThat(leavesTimeAfter(3_000, 60_000)).isFalse();
    }

    @Test
    void sessionsAreClosedAfterTheLoadBalancerHasCheckedTwice() {
        assertThat(SCHEDULE.closeSessionsNanos() - START_NANOS).isEqualTo(millis(2_200));
    }

    @Test
    void theLastSixthOfTheGracePeriodIsLeftForTheLastAnswers() {
        assertThat(SCHEDULE.endOfServiceNanos() - START_NANOS).isEqualTo(millis(5_000));
        assertThat(SCHEDULE.haltNanos() - START_NANOS).isEqualTo(millis(5_400));
    }

    @Test
    void shortGracePeriodIsDivided() {
        ShutdownSchedule schedule = ShutdownSchedule.startingAt(0, 1_200);
        assertThat(schedule.closeSessionsNanos()).isEqualTo(millis(500));
        assertThat(schedule.endOfServiceNanos()).isEqualTo(millis(1_000));
        assertThat(ShutdownSchedule.startingAt(0, 0).endOfServiceNanos()).isEqualTo(0);
        assertThrows(IllegalArgumentException.class, () -> ShutdownSchedule.startingAt(0, -1));
    }

    private static long millis(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private static boolean leavesTimeAfter(long millis, long timeoutMillis) {
        return SCHEDULE.leavesTimeFor(
                START_NANOS + TimeUnit.MILLISECONDS.toNanos(millis), TimeUnit.MILLISECONDS.toNanos(timeoutMillis));
    }
}
