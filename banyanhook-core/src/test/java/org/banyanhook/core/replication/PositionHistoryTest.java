package org.banyanhook.core.replication;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;

final class PositionHistoryTest {

    private static final long MILLI = 1_000_000L;

    private final PositionHistory history = new PositionHistory();

    @Test
    void returnsTheEarliestPositionThatCoversTheTime() {
        history.recordAnswer(100 * MILLI, new LogPosition(1, 10));
        history.recordAnswer(200 * MILLI, new LogPosition(1, 20));
        history.recordAnswer(300 * MILLI, new LogPosition(1, 30));
        assertThat(minimumPosition(150)).hasValue(new LogPosition(1, 20));
        assertThat(minimumPosition(200)).hasValue(new LogPosition(1, 20));
        assertThat(minimumPosition(50)).hasValue(new LogPosition(1, 10));
    }

    @Test
    void returnsNothingForATimeAfterTheLastAnswer() {
        history.recordAnswer(100 * MILLI, new LogPosition(1, 10));
        assertThat(minimumPosition(101)).isEmpty();
    }

    @Test
    void aNewTermReplacesThePositionsOfTheOldOne() {
        history.recordAnswer(100 * MILLI, new LogPosition(1, 50));
        history.recordAnswer(200 * MILLI, new LogPosition(2, 45));
        assertThat(minimumPosition(50)).hasValue(new LogPosition(2, 45));
    }

    @Test
    void ignoresAnAnswerOfAnOlderTerm() {
        history.recordAnswer(100 * MILLI, new LogPosition(2, 45));
        history.recordAnswer(200 * MILLI, new LogPosition(1, 50));
        assertThat(minimumPosition(150)).isEmpty();
    }

    @Test
    void positionsNeverDecreaseWithinATerm() {
        history.recordAnswer(100 * MILLI, new LogPosition(1, 50));
        history.recordAnswer(200 * MILLI, new LogPosition(1, 49));
        assertThat(minimumPosition(150)).hasValue(new LogPosition(1, 50));
    }

    @Test
    void clearRemovesAllEntries() {
        history.recordAnswer(100 * MILLI, new LogPosition(1, 50));
        history.clear();
        assertThat(minimumPosition(50)).isEmpty();
        assertThat(history.newest()).isEmpty();
    }

    private Optional<LogPosition> minimumPosition(long notBeforeMillis) {
        return history.minimumPosition(notBeforeMillis * MILLI).map(PositionHistory.Entry::position);
    }
}
