package org.banyanhook.testbed.platform;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import org.banyanhook.daemon.platform.VirtualMachine;
import org.junit.jupiter.api.Test;

final class PlatformStateTest {

    private static final long MILLIS = 1_000_000;

    private final AtomicLong now = new AtomicLong(-50 * MILLIS);
    private final PlatformState state = new PlatformState(now::get);

    @Test
    void swapAppliesOnlyAtTheExpectedRevision() {
        for (long seed = 1; seed <= 50; seed++) {
            Random random = new Random(seed);
            PlatformState subject = new PlatformState(now::get);
            Map<String, Long> revisions = new HashMap<>();
            long highest = 0;
            for (int step = 0; step < 200; step++) {
                String key = "key" + random.nextInt(3);
                long present = revisions.getOrDefault(key, 0L);
                long expected = random.nextBoolean() ? present : random.nextInt(100);
                PlatformState.SwapResult result = subject.swap(key, "value" + step, expected, null);
                assertWithMessage("seed %s step %s", seed, step)
                        .that(result.applied())
                        .isEqualTo(expected == present);
                if (result.applied()) {
                    assertWithMessage("seed %s", seed).that(result.revision()).isGreaterThan(highest);
                    highest = result.revision();
                    revisions.put(key, highest);
                } else {
                    assertWithMessage("seed %s", seed).that(result.revision()).isEqualTo(present);
                }
            }
        }
    }

    @Test
    void valuesVanishWhenTheirLeaseLapses() {
        String lease = state.grantLease(100);
        assertThat(state.swap("bound", "value", 0, lease).applied()).isTrue();
        assertThat(state.swap("free", "value", 0, null).applied()).isTrue();
        now.addAndGet(99 * MILLIS);
        assertThat(state.renewLease(lease).getAsLong()).isEqualTo(100);
        now.addAndGet(99 * MILLIS);
        assertThat(state.read("bound")).isPresent();
        now.addAndGet(MILLIS);
        assertThat(state.read("bound")).isEmpty();
        assertThat(state.read("free")).isPresent();
        assertThat(state.renewLease(lease)).isEqualTo(java.util.OptionalLong.empty());
        assertThat(state.swap("other", "value", 0, lease).applied()).isFalse();
    }

    @Test
    void watchCompletesWithTheFirstNewerRevision() {
        long revision = state.swap("key", "old", 0, null).revision();
        var watch = state.watch("key", revision);
        assertThat(state.swap("other", "value", 0, null).applied()).isTrue();
        assertThat(watch.isDone()).isFalse();
        assertThat(state.swap("key", "new", revision, null).applied()).isTrue();
        assertThat(watch.join().value()).isEqualTo("new");
        assertThat(state.watch("key", revision).join().value()).isEqualTo("new");
    }

    @Test
    void listOfVirtualMachinesLags() {
        state.setListLagMillis(1000);
        state.listMachines(List.of(new VirtualMachine("vm", "entry", "a", "127.0.0.1:1", "live")));
        now.addAndGet(999 * MILLIS);
        assertThat(state.machines()).isEmpty();
        now.addAndGet(MILLIS);
        assertThat(state.machines()).hasSize(1);
    }
}
