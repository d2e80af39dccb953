package org.banyanhook.core.primary;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.banyanhook.core.primary.TestGroups.SECOND;
import static org.banyanhook.core.primary.TestGroups.primary;
import static org.banyanhook.core.primary.TestGroups.replica;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.banyanhook.core.replication.LogPosition;
import org.junit.jupiter.api.Test;

/**
 * Guards against reads of data that is older than the route allows: a bound below the true age would let a lagging
 * replica serve them.
 */
final class DataAgeBoundsTest {

    @Test
    void boundsAgeByTheOldestReadOfTheMajority() {
        DataAgeBounds history = DataAgeBounds.EMPTY.withObservations(
                List.of(primary("m0", 1, 10, 5 * SECOND), replica("m1", 1, "m0", 4, 4 * SECOND)), 2);
        assertThat(history.ageBoundMillis(new LogPosition(1, 10), 6 * SECOND)).isEqualTo(2000);
        assertThat(history.ageBoundMillis(new LogPosition(1, 9), 6 * SECOND)).isEqualTo(DataAgeBounds.UNBOUNDED_MILLIS);
        assertThat(history.ageBoundMillis(new LogPosition(2, 1), 6 * SECOND)).isEqualTo(2000);
    }

    @Test
    void ignoresAPrimaryWithoutAMajorityInItsTerm() {
        DataAgeBounds history = DataAgeBounds.EMPTY.withObservations(
                List.of(
                        primary("m0", 1, 10, 5 * SECOND),
                        replica("m1", 2, "m2", 9, 5 * SECOND),
                        replica("m2", 2, "m2", 9, 5 * SECOND)),
                2);
        assertThat(history.ageBoundMillis(new LogPosition(9, 99), 5 * SECOND))
                .isEqualTo(DataAgeBounds.UNBOUNDED_MILLIS);
    }

    @Test
    void boundIsNeverBelowTheTrueAge() {
        for (long seed = 1; seed <= 100; seed++) {
            Random random = new Random(seed);
            DataAgeBounds history = DataAgeBounds.EMPTY;
            TreeMap<Long, Long> writtenAt = new TreeMap<>();
            long now = SECOND;
            long position = 1;
            for (int round = 0; round < 400; round++) {
                now += 1 + random.nextInt(200_000_000);
                position += random.nextInt(5);
                writtenAt.put(position, now);
                history = history.withObservations(
                        List.of(primary("m0", 1, position, now), replica("m1", 1, "m0", 0, now)), 2);
                long replicated = 1 + random.nextLong(position);
                Map.Entry<Long, Long> firstMissed = writtenAt.higherEntry(replicated);
                long trueAgeNanos = firstMissed == null ? 0 : now - firstMissed.getValue();
                assertWithMessage("seed %s round %s", seed, round)
                        .that(history.ageBoundMillis(new LogPosition(1, replicated), now))
                        .isAtLeast(trueAgeNanos / 1_000_000);
            }
        }
    }
}
