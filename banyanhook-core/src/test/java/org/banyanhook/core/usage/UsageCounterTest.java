package org.banyanhook.core.usage;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

final class UsageCounterTest {

    private static final UsageWindows WINDOWS = new UsageWindows(new UsageSettings(5_000, 0.05, 10_000, 3_000, 50));

    private final UsageCounter counter = new UsageCounter(WINDOWS);

    /** A request that runs after the end of its window must not move to the next one. */
    @Test
    void requestCountsInTheWindowOfItsSending() {
        counter.settle(1_000, 1_000);
        long window = counter.recordSent(4_990, "plant");
        assertThat(changes()).isEmpty();
        counter.recordRan(window, "plant");
        assertThat(changes()).containsExactly(new WindowUsage(0, Map.of("plant", 1L), false, 2));
        counter.settle(5_600, 5_600);
        assertThat(changes()).containsExactly(new WindowUsage(0, Map.of("plant", 1L), true, 3));
    }

    @Test
    void refusedRequestIsNotCountedAndUnansweredOneIs() {
        counter.settle(1_000, 1_000);
        long refused = counter.recordSent(2_000, "plant");
        counter.recordSent(2_000, "ward");
        counter.recordRefused(refused, "plant");
        counter.settle(5_600, 5_600);
        assertThat(changes()).containsExactly(new WindowUsage(0, Map.of("ward", 1L), true, 2));
    }

    /** Receivers keep the highest count, so that one that falls or a second answer would make them wrong. */
    @Test
    void countsNeverFallAndSettledWindowsDoNotChange() {
        Random random = new Random(20261206);
        Map<Long, Long> settled = new HashMap<>();
        Map<Long, Long> highest = new HashMap<>();
        for (long now = 0; now < 60_000; now += 50) {
            long sent = counter.recordSent(now + random.nextInt(400) - 200, "plant");
            if (random.nextInt(3) > 0) {
                counter.recordRan(sent, "plant");
            } else if (random.nextBoolean()) {
                counter.recordRefused(Math.max(0, sent - random.nextInt(2)), "plant");
            }
            counter.settle(now, now);
            for (WindowUsage usage : changes()) {
                long count = usage.counts().getOrDefault("plant", 0L);
                assertThat(count).isAtLeast(highest.getOrDefault(usage.window(), 0L));
                highest.put(usage.window(), count);
                if (usage.complete()) {
                    assertThat(settled.getOrDefault(usage.window(), count)).isEqualTo(count);
                    settled.put(usage.window(), count);
                }
            }
        }
        assertThat(settled.size()).isAtLeast(10);
    }

    /** A daemon that has just started would otherwise confirm that there was no traffic before its start. */
    @Test
    void windowsFromBeforeTheStartAreNotComplete() {
        counter.settle(61_000, 61_000);
        counter.settle(66_000, 66_000);
        assertThat(changes()).containsExactly(new WindowUsage(12, Map.of(), true, 2));
    }

    @Test
    void deliveredAndDecidedWindowsAreNotSentAgain() {
        counter.settle(1_000, 1_000);
        counter.settle(11_000, 11_000);
        assertThat(counter.changesSince(Map.of(0L, 2L))).hasSize(1);
        counter.forgetThrough(1);
        assertThat(changes()).isEmpty();
    }

    /**
     * A wrong clock that was followed for a moment settled windows that had not begun: the counts of the open ones were
     * dropped, and all further requests counted in a window far ahead.
     */
    @Test
    void countsOfOpenWindowsAreKeptWhenTheEstimateWasAhead() {
        for (long aheadMillis : new long[] {6_000, 12_000, 3_600_000}) {
            UsageCounter followed = new UsageCounter(WINDOWS);
            followed.settle(50_000, 0);
            count(followed, 51_000);
            followed.settle(51_500 + aheadMillis, 1_500);
            count(followed, 52_000 + aheadMillis);
            followed.settle(52_500 + aheadMillis, 2_500);
            followed.settle(53_000, 3_000);
            count(followed, 54_000);
            followed.settle(55_700, 5_700);
            assertWithMessage("ahead by %s ms", aheadMillis)
                    .that(completeCounts(followed))
                    .containsExactly(10L, Map.of("plant", 3L));
        }
    }

    /** Guards against a daemon that never confirms its counts because its clock was ahead when it started. */
    @Test
    void windowsAreCompleteAfterAStartWithAClockAhead() {
        counter.settle(3_650_000, 0);
        counter.settle(51_000, 1_000);
        count(counter, 56_000);
        counter.settle(60_700, 10_700);
        assertThat(completeCounts(counter)).containsExactly(11L, Map.of("plant", 1L));
    }

    /** Guards against counts that never end to be kept and sent again. */
    @Test
    void settledWindowsAreDroppedAfterTheRetention() {
        for (long now = 0; now < 60_000; now += 500) {
            counter.settle(now, now);
        }
        assertThat(counter.windows()).containsExactly(5L, 6L, 7L, 8L, 9L, 10L);
    }

    private static void count(UsageCounter counter, long trueMillis) {
        counter.recordRan(counter.recordSent(trueMillis, "plant"), "plant");
    }

    private static Map<Long, Map<String, Long>> completeCounts(UsageCounter counter) {
        Map<Long, Map<String, Long>> counts = new HashMap<>();
        counter.changesSince(Map.of()).stream()
                .filter(WindowUsage::complete)
                .forEach(usage -> counts.put(usage.window(), usage.counts()));
        return counts;
    }

    private List<WindowUsage> changes() {
        return counter.changesSince(Map.of());
    }
}
