package org.banyanhook.core.primary;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class SilentDaemonTest {

    @ParameterizedTest
    @CsvSource({
        // registered, milliseconds since its entry ended, reported by a voter, may use the primary
        "true, 0, false, true",
        "true, 60000, false, true",
        "false, 0, false, true",
        "false, 2100, false, true",
        "false, 2300, false, false",
        "false, 60000, false, false",
        "false, 60000, true, true",
    })
    void usesThePrimaryOnlyInContactWithTheStoreOrAMajority(
            boolean registered, long millisSinceEnd, boolean reported, boolean mayUsePrimary) {
        assertThat(new SilentDaemon(registered, millisSinceEnd * 1_000_000, reported).mayUsePrimary())
                .isEqualTo(mayUsePrimary);
    }
}
