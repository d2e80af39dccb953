package org.banyanhook.core.routing;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against shares that together exceed the connection limit of a member. */
class ConnectionShareTest {

    @ParameterizedTest
    @CsvSource({"16, 3, 4", "40, 3, 10", "16, 1, 12", "2, 3, 1", "1, 1, 1"})
    void reservesAQuarterAndDividesTheRest(int limit, int homes, int expected) {
        assertThat(ConnectionShare.perHome(limit, homes)).isEqualTo(expected);
    }

    @Test
    void everyEntryVmOfASmallFleetKeepsConnectionsToThePrimary() {
        assertThat(ConnectionShare.perEntryVm(16, true, 8, 0)).isEqualTo(2);
        assertThat(ConnectionShare.perEntryVm(16, true, 16, 0)).isEqualTo(1);
    }

    @Test
    void onlyEntryVmsNearAReplicaKeepConnectionsToIt() {
        assertThat(ConnectionShare.perEntryVm(16, false, 8, 3)).isEqualTo(4);
        assertThat(ConnectionShare.perEntryVm(16, false, 8, 0)).isEqualTo(0);
    }

    @Test
    void allSharesOfALargeFleetStayWithinTheLimit() {
        for (int entryVms : new int[] {30, 72, 300, 2_200}) {
            int near = entryVms / 6;
            int kept = near * ConnectionShare.perEntryVm(54, true, entryVms, near);
            int elsewhere = (entryVms - near) * ConnectionShare.perEntryVm(54, true, entryVms, 0);
            assertThat(kept + elsewhere).isAtMost(54);
        }
    }
}
