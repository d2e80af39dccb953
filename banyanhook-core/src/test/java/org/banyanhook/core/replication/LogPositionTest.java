package org.banyanhook.core.replication;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

final class LogPositionTest {

    @Test
    void ordersByTermBeforePosition() {
        assertThat(new LogPosition(2, 1).covers(new LogPosition(1, 9))).isTrue();
        assertThat(new LogPosition(1, 9).covers(new LogPosition(2, 1))).isFalse();
    }

    @Test
    void refusesNegativePosition() {
        IllegalArgumentException refusal = assertThrows(IllegalArgumentException.class, () -> new LogPosition(1, -4));
        assertThat(refusal).hasMessageThat().contains("-4");
    }
}
