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

class ConnectionRegistryTest {

    private static final long MAXIMUM_IDLE = 1_000;

    private final ConnectionRegistry ledger = new ConnectionRegistry();

    private void addIdle(long id, long proofNanos) {
        ledger.add(id, proofNanos);
        ledger.release(id);
    }

    @Test
    void leasesTheLatestProvenFirstAndNoneTwice() {
        addIdle(1, 10);
        addIdle(2, 30);
        addIdle(3, 20);
        assertThat(ledger.lease(40, MAXIMUM_IDLE)).isEqualTo(OptionalLong.of(2));
        assertThat(ledger.lease(40, MAXIMUM_IDLE)).isEqualTo(OptionalLong.of(3));
        assertThat(ledger.lease(40, MAXIMUM_IDLE)).isEqualTo(OptionalLong.of(1));
        assertThat(ledger.lease(40, MAXIMUM_IDLE)).isEqualTo(OptionalLong.empty());
    }

    @Test
    void leasesNoConnectionIdleForTooLong() {
        addIdle(1, 10);
        assertThat(ledger.lease(11 + MAXIMUM_IDLE, MAXIMUM_IDLE)).isEqualTo(OptionalLong.empty());
        assertThat(ledger.retireUnusable(11 + MAXIMUM_IDLE, MAXIMUM_IDLE)).containsExactly(1L);
    }

    @Test
    void silenceBesideAWorkingConnectionRetiresOlderIdleOnesAtOnce() {
        addIdle(1, 10);
        addIdle(2, 20);
        ledger.add(3, 30);
        ledger.add(4, 30);
        assertThat(ledger.onAnswer(4, 35, 50)).isEmpty();
        assertThat(ledger.onTimeout(3, 40)).containsExactly(1L, 2L);
        assertThat(ledger.release(4)).isTrue();
    }

    @Test
    void silenceAloneKeepsSuspectsUnusedUntilAnotherConnectionWorks() {
        addIdle(1, 10);
        ledger.add(2, 20);
        assertThat(ledger.onTimeout(2, 40)).isEmpty();
        assertThat(ledger.lease(60, MAXIMUM_IDLE)).isEqualTo(OptionalLong.empty());
        ledger.add(3, 60);
        assertThat(ledger.onAnswer(3, 61, 70)).containsExactly(1L);
    }

    @Test
    void suspectThatWasLeasedIsNotKeptWhenGivenBack() {
        ledger.add(1, 10);
        ledger.add(2, 20);
        ledger.onTimeout(2, 40);
        assertThat(ledger.release(1)).isFalse();
        assertThat(ledger.size()).isEqualTo(0);
    }

    @Test
    void refusesToTakeAConnectionBackTwice() {
        addIdle(1, 10);
        assertThrows(IllegalStateException.class, () -> ledger.release(1));
    }

    /**
     * A lost path silences every connection opened before a moment; the ledger may meet at most one after the first.
     */
    @Test
    void neverLeasesAnIdleConnectionOlderThanAKnownSilence() {
        for (long seed = 1; seed <= 500; seed++) {
            Random random = new Random(seed);
            ConnectionRegistry connections = new ConnectionRegistry();
            Map<Long, Long> proofs = new HashMap<>();
            Set<Long> leased = new HashSet<>();
            long silenceNanos = Long.MIN_VALUE;
            long nextId = 1;
            for (long now = 1; now <= 200; now++) {
                int step = random.nextInt(4);
                if (step == 0) {
                    OptionalLong id = connections.lease(now, MAXIMUM_IDLE);
                    if (id.isPresent()) {
                        assertWithMessage("seed %s", seed)
                                .that(proofs.get(id.getAsLong()))
                                .isAtLeast(silenceNanos);
                        assertWithMessage("seed %s", seed)
                                .that(leased.add(id.getAsLong()))
                                .isTrue();
                    } else {
                        connections.add(nextId, now);
                        proofs.put(nextId, now);
                        leased.add(nextId++);
                    }
                } else if (!leased.isEmpty()) {
                    long id = List.copyOf(leased).get(random.nextInt(leased.size()));
                    if (step == 1) {
                        long sent = Math.max(1, now - random.nextInt(20));
                        connections.onAnswer(id, sent, now);
                        proofs.put(id, now);
                    } else if (step == 2) {
                        connections.release(id);
                        leased.remove(id);
                    } else if (random.nextInt(5) == 0) {
                        long sent = Math.max(1, now - random.nextInt(20));
                        connections.onTimeout(id, sent);
                        leased.remove(id);
                        silenceNanos = Math.max(silenceNanos, sent);
                    }
                }
            }
        }
    }
}
