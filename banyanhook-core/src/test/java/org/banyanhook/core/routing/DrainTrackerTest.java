package org.banyanhook.core.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class DrainTrackerTest {

    private static final long GRACE = 100;

    private final DrainTracker ledger = new DrainTracker();

    @Test
    void departureSeenToBeginLeavesTheGraceAndNoMore() {
        ledger.onConfiguration(List.of("db-1"), List.of(), 0);
        ledger.onConfiguration(List.of(), List.of("db-1"), 10);
        ledger.onConfiguration(List.of(), List.of("db-1"), 90);
        assertThat(ledger.acceptsRequests("db-1", GRACE, 109)).isTrue();
        assertThat(ledger.acceptsRequests("db-1", GRACE, 110)).isFalse();
        assertThat(ledger.acceptsRequests("db-1", 0, 10)).isFalse();
    }

    @Test
    void departureThatBeganEarlierLeavesNone() {
        ledger.onConfiguration(List.of(), List.of("db-1"), 10);
        assertThat(ledger.acceptsRequests("db-1", GRACE, 10)).isFalse();
    }

    @Test
    void whatReturnsTakesWorkAndGetsTheGraceAnew() {
        ledger.onConfiguration(List.of(), List.of("db-1"), 0);
        ledger.onConfiguration(List.of("db-1"), List.of(), 500);
        assertThat(ledger.acceptsRequests("db-1", GRACE, 500)).isTrue();
        ledger.onConfiguration(List.of(), List.of("db-1"), 600);
        assertThat(ledger.acceptsRequests("db-1", GRACE, 699)).isTrue();
        assertThat(ledger.acceptsRequests("db-1", GRACE, 700)).isFalse();
    }
}
