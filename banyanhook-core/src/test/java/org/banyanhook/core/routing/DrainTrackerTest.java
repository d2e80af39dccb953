package org.banyanhook.core.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests that only a drain whose start was observed allows a grace period. */
class DrainTrackerTest {

    private static final long GRACE_PERIOD_NANOS = 100;

    private final DrainTracker tracker = new DrainTracker();

    @Test
    void observedDrainAllowsOnlyTheGracePeriod() {
        tracker.onConfiguration(List.of("db-1"), List.of(), 0);
        tracker.onConfiguration(List.of(), List.of("db-1"), 10);
        tracker.onConfiguration(List.of(), List.of("db-1"), 90);
        assertThat(tracker.acceptsRequests("db-1", GRACE_PERIOD_NANOS, 109)).isTrue();
        assertThat(tracker.acceptsRequests("db-1", GRACE_PERIOD_NANOS, 110)).isFalse();
        assertThat(tracker.acceptsRequests("db-1", 0, 10)).isFalse();
    }

    @Test
    void drainThatStartedEarlierAllowsNoGracePeriod() {
        tracker.onConfiguration(List.of(), List.of("db-1"), 10);
        assertThat(tracker.acceptsRequests("db-1", GRACE_PERIOD_NANOS, 10)).isFalse();
    }

    @Test
    void returnToServiceResetsTheGracePeriod() {
        tracker.onConfiguration(List.of(), List.of("db-1"), 0);
        tracker.onConfiguration(List.of("db-1"), List.of(), 500);
        assertThat(tracker.acceptsRequests("db-1", GRACE_PERIOD_NANOS, 500)).isTrue();
        tracker.onConfiguration(List.of(), List.of("db-1"), 600);
        assertThat(tracker.acceptsRequests("db-1", GRACE_PERIOD_NANOS, 699)).isTrue();
        assertThat(tracker.acceptsRequests("db-1", GRACE_PERIOD_NANOS, 700)).isFalse();
    }
}
