package org.banyanhook.core.routing;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ConnectionShareTest {

    @ParameterizedTest
    @CsvSource({"16, 3, 4", "40, 3, 10", "16, 1, 12", "2, 3, 1", "1, 1, 1"})
    void leavesAQuarterAndDividesTheRest(int limit, int homes, int expected) {
        assertThat(ConnectionShare.perHome(limit, homes)).isEqualTo(expected);
    }
}
