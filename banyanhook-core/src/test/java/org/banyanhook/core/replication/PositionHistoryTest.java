package org.banyanhook.core.replication;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;

final class PositionHistoryTest {

    private static final long MILLI = 1_000_000L;

    private final PositionHistory history = new PositionHistory();

    @Test
    void theFloorIsTheEarliestPlaceThatCoversTheTime() {
        history.record(100 * MILLI, new LogPosition(1, 10));
        history.record(200 * MILLI, new LogPosition(1, 20));
        history.record(300 * MILLI, new LogPosition(1, 30));
        assertThat(floor(150)).hasValue(new LogPosition(1, 20));
        assertThat(floor(200)).hasValue(new LogPosition(1, 20));
        assertThat(floor(50)).hasValue(new LogPosition(1, 10));
    }

    @Test
    void nothingCoversATimeAfterTheLastAnswer() {
        history.record(100 * MILLI, new LogPosition(1, 10));
        assertThat(floor(101)).isEmpty();
    }

    @Test
    void aNewTermReplacesThePlacesOfTheOldOne() {
        history.record(100 * MILLI, new LogPosition(1, 50));
        history.record(200 * MILLI, new LogPosition(2, 45));
        assertThat(floor(50)).hasValue(new LogPosition(2, 45));
    }

    @Test
    void anAnswerOfAnOlderTermIsIgnored() {
        history.record(100 * MILLI, new LogPosition(2, 45));
        history.record(200 * MILLI, new LogPosition(1, 50));
        assertThat(floor(150)).isEmpty();
    }

    @Test
    void placesNeverGoBackWithinATerm() {
        history.record(100 * MILLI, new LogPosition(1, 50));
        history.record(200 * MILLI, new LogPosition(1, 49));
        assertThat(floor(150)).hasValue(new LogPosition(1, 50));
    }

    @Test
    void nothingIsKnownAfterASuspension() {
        history.record(100 * MILLI, new LogPosition(1, 50));
        history.clear();
        assertThat(floor(50)).isEmpty();
        assertThat(history.newest()).isEmpty();
    }

    private Optional<LogPosition> floor(long notBeforeMillis) {
        return history.minimumPosition(notBeforeMillis * MILLI).map(PositionHistory.Entry::position);
    }
}
