package org.banyanhook.core.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class DepartureLedgerTest {

    private static final long GRACE = 100;

    private final DepartureLedger ledger = new DepartureLedger();

    @Test
    void departureSeenToBeginLeavesTheGraceAndNoMore() {
        ledger.observe(List.of("db-1"), List.of(), 0);
        ledger.observe(List.of(), List.of("db-1"), 10);
        ledger.observe(List.of(), List.of("db-1"), 90);
        assertThat(ledger.takesWork("db-1", GRACE, 109)).isTrue();
        assertThat(ledger.takesWork("db-1", GRACE, 110)).isFalse();
        assertThat(ledger.takesWork("db-1", 0, 10)).isFalse();
    }

    @Test
    void departureThatBeganEarlierLeavesNone() {
        ledger.observe(List.of(), List.of("db-1"), 10);
        assertThat(ledger.takesWork("db-1", GRACE, 10)).isFalse();
    }

    @Test
    void whatReturnsTakesWorkAndGetsTheGraceAnew() {
        ledger.observe(List.of(), List.of("db-1"), 0);
        ledger.observe(List.of("db-1"), List.of(), 500);
        assertThat(ledger.takesWork("db-1", GRACE, 500)).isTrue();
        ledger.observe(List.of(), List.of("db-1"), 600);
        assertThat(ledger.takesWork("db-1", GRACE, 699)).isTrue();
        assertThat(ledger.takesWork("db-1", GRACE, 700)).isFalse();
    }
}
