package org.banyanhook.gateway.operation;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class MonotonicClockTest {

    private long monotonicMillis = 1_000;
    private long wallMillis = 500_000;
    private final MonotonicClock clock =
            new MonotonicClock(() -> TimeUnit.MILLISECONDS.toNanos(monotonicMillis), () -> wallMillis);

    @Test
    void timeBeforeASuspensionIsNotComparable() {
        long before = clock.nowNanos();
        advance(100);
        assertThat(clock.jumpedSince(before)).isFalse();
        wallMillis += 5_000;
        assertThat(clock.jumpedSince(before)).isTrue();
        long after = clock.nowNanos();
        advance(100);
        assertThat(clock.jumpedSince(after)).isFalse();
        assertThat(clock.jumpedSince(before)).isTrue();
    }

    @Test
    void driftOfTheWallClockIsNoSuspension() {
        long before = clock.nowNanos();
        advance(10_000);
        wallMillis += 30;
        assertThat(clock.jumpedSince(before)).isFalse();
    }

    private void advance(long millis) {
        monotonicMillis += millis;
        wallMillis += millis;
    }
}
