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
        assertThat(leavesTimeAfter(4_300, 1_000)).isTrue();
        assertThat(leavesTimeAfter(4_301, 1_000)).isFalse();
        assertThat(leavesTimeAfter(5_299, 1_000)).isFalse();
    }

    @Test
    void everyStatementRunsInTheFirstHalfOfTheGracePeriod() {
        assertThat(leavesTimeAfter(2_999, 60_000)).isTrue();
        assertThat(leavesTimeAfter(3_000, 60_000)).isFalse();
    }

    @Test
    void sessionsAreClosedAfterTheLoadBalancerHasCheckedTwice() {
        assertThat(SCHEDULE.closeSessionsAfterMillis()).isEqualTo(2_200);
        assertThat(SCHEDULE.endNanos() - START_NANOS).isEqualTo(TimeUnit.MILLISECONDS.toNanos(5_300));
    }

    @Test
    void shortGracePeriodIsDivided() {
        assertThat(ShutdownSchedule.startingAt(0, 1_000).closeSessionsAfterMillis())
                .isEqualTo(150);
        assertThat(ShutdownSchedule.startingAt(0, 0).endNanos()).isEqualTo(0);
        assertThrows(IllegalArgumentException.class, () -> ShutdownSchedule.startingAt(0, -1));
    }

    private static boolean leavesTimeAfter(long millis, long timeoutMillis) {
        return SCHEDULE.leavesTimeFor(
                START_NANOS + TimeUnit.MILLISECONDS.toNanos(millis), TimeUnit.MILLISECONDS.toNanos(timeoutMillis));
    }
}
