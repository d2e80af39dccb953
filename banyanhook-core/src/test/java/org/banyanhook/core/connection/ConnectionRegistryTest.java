package org.banyanhook.core.connection;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Tests that no suspect or outdated connection is leased, and that suspect ones are retired once the server answers.
 */
class ConnectionRegistryTest {

    private static final long MAXIMUM_IDLE_NANOS = 1_000;

    private final ConnectionRegistry registry = new ConnectionRegistry();

    private void addIdle(long id, long lastAnswerNanos) {
        registry.add(id, lastAnswerNanos);
        registry.release(id);
    }

    @Test
    void leasesTheConnectionThatAnsweredLastFirstAndNoneTwice() {
        addIdle(1, 10);
        addIdle(2, 30);
        addIdle(3, 20);
        assertThat(registry.lease(40, MAXIMUM_IDLE_NANOS)).isEqualTo(OptionalLong.of(2));
        assertThat(registry.lease(40, MAXIMUM_IDLE_NANOS)).isEqualTo(OptionalLong.of(3));
        assertThat(registry.lease(40, MAXIMUM_IDLE_NANOS)).isEqualTo(OptionalLong.of(1));
        assertThat(registry.lease(40, MAXIMUM_IDLE_NANOS)).isEqualTo(OptionalLong.empty());
    }

    @Test
    void doesNotLeaseAConnectionThatWasIdleForTooLong() {
        addIdle(1, 10);
        assertThat(registry.lease(11 + MAXIMUM_IDLE_NANOS, MAXIMUM_IDLE_NANOS)).isEqualTo(OptionalLong.empty());
        assertThat(registry.retireUnusable(11 + MAXIMUM_IDLE_NANOS, MAXIMUM_IDLE_NANOS))
                .containsExactly(1L);
    }

    @Test
    void timeoutBesideAnAnsweringConnectionRetiresOlderIdleOnesAtOnce() {
        addIdle(1, 10);
        addIdle(2, 20);
        registry.add(3, 30);
        registry.add(4, 30);
        assertThat(registry.onAnswer(4, 35, 50)).isEmpty();
        assertThat(registry.onTimeout(3, 40)).containsExactly(1L, 2L);
        assertThat(registry.release(4)).isTrue();
    }

    @Test
    void suspectConnectionsAreNotLeasedAndRetiredOnceAnotherAnswers() {
        addIdle(1, 10);
        registry.add(2, 20);
        assertThat(registry.onTimeout(2, 40)).isEmpty();
        assertThat(registry.lease(60, MAXIMUM_IDLE_NANOS)).isEqualTo(OptionalLong.empty());
        registry.add(3, 60);
        assertThat(registry.onAnswer(3, 61, 70)).containsExactly(1L);
    }

    @Test
    void leasedSuspectConnectionIsNotKeptWhenReleased() {
        registry.add(1, 10);
        registry.add(2, 20);
        registry.onTimeout(2, 40);
        assertThat(registry.release(1)).isFalse();
        assertThat(registry.size()).isEqualTo(0);
    }

    @Test
    void rejectsASecondRelease() {
        addIdle(1, 10);
        assertThrows(IllegalStateException.class, () -> registry.release(1));
    }

    /**
     * Guards against a network failure that silently breaks all older connections: after the first timeout, no idle
     * connection with an older answer may be leased.
     */
    @Test
    void neverLeasesAnIdleConnectionWhoseLastAnswerIsOlderThanATimeout() {
        for (long seed = 1; seed <= 500; seed++) {
            Random random = new Random(seed);
            ConnectionRegistry connections = new ConnectionRegistry();
            Map<Long, Long> lastAnswers = new HashMap<>();
            Set<Long> leased = new HashSet<>();
            long latestTimedOutRequestNanos = Long.MIN_VALUE;
            long nextId = 1;
            for (long now = 1; now <= 200; now++) {
                int step = random.nextInt(4);
                if (step == 0) {
                    OptionalLong id = connections.lease(now, MAXIMUM_IDLE_NANOS);
                    if (id.isPresent()) {
                        assertWithMessage("seed %s", seed)
                                .that(lastAnswers.get(id.getAsLong()))
                                .isAtLeast(latestTimedOutRequestNanos);
                        assertWithMessage("seed %s", seed)
                                .that(leased.add(id.getAsLong()))
                                .isTrue();
                    } else {
                        connections.add(nextId, now);
                        lastAnswers.put(nextId, now);
                        leased.add(nextId++);
                    }
                } else if (!leased.isEmpty()) {
                    long id = List.copyOf(leased).get(random.nextInt(leased.size()));
                    if (step == 1) {
                        long sent = Math.max(1, now - random.nextInt(20));
                        connections.onAnswer(id, sent, now);
                        lastAnswers.put(id, now);
                    } else if (step == 2) {
                        connections.release(id);
                        leased.remove(id);
                    } else if (random.nextInt(5) == 0) {
                        long sent = Math.max(1, now - random.nextInt(20));
                        connections.onTimeout(id, sent);
                        leased.remove(id);
                        latestTimedOutRequestNanos = Math.max(latestTimedOutRequestNanos, sent);
                    }
                }
            }
        }
    }
}
