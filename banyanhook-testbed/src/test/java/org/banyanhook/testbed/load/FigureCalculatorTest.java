package org.banyanhook.testbed.load;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

final class FigureCalculatorTest {

    private static final LogChecker.Result NO_LOG = new LogChecker.Result(0, 0, 0);

    @Test
    void longestGapCountsTheEdgesOfTheWindowAndOnlyAcknowledgedWritesOfItsDatabase() {
        List<Sample> samples =
                List.of(write("db", 100, 200), write("db", 400, 503), write("other", 600, 200), write("db", 700, 200));
        assertThat(gap(samples, 0, 1_000)).isEqualTo(600);
        assertThat(gap(samples, 0, 750)).isEqualTo(600);
        assertThat(gap(samples, 650, 1_500)).isEqualTo(800);
        assertThat(gap(List.of(), 0, 500)).isEqualTo(500);
    }

    @Test
    void countsReplicaReadsWrongfulRefusalsAndTheWorstServedAccount() {
        List<Sample> samples = List.of(
                read("a", 200, "", true, true),
                read("a", 200, "", false, true),
                read("b", 429, "rate-exceeded", false, true),
                read("b", 429, "rate-exceeded", false, false),
                read("b", 0, "", false, true));
        Figures figures = FigureCalculator.calculate(samples, List.of(), 1_000, NO_LOG);
        assertThat(figures.replicaShare()).isEqualTo(0.5);
        assertThat(figures.refusedWithinRate()).isEqualTo(1);
        assertThat(figures.offeredWithinRate()).isEqualTo(4);
        assertThat(figures.refusals()).containsExactly("rate-exceeded", 2L, "no-answer", 1L);
        assertThat(figures.accounts().get(0).account()).isEqualTo("b");
        assertThat(figures.accounts().get(0).successShare()).isEqualTo(0.0);
        assertThat(figures.successesPerSecond()).containsExactly(2L);
    }

    @Test
    void bucketNeverTakesMoreThanRateTimesWindowPlusBurst() {
        for (long seed = 1; seed <= 20; seed++) {
            Random random = new Random(seed);
            RateBucket bucket = new RateBucket(50, 10);
            long nowNanos = 0;
            int taken = 0;
            for (int request = 0; request < 2_000; request++) {
                nowNanos += random.nextInt(20_000_000);
                taken += bucket.take(nowNanos) ? 1 : 0;
                assertWithMessage("seed %s", seed).that((double) taken).isAtMost(50 * nowNanos / 1e9 + 10);
            }
            assertWithMessage("seed %s", seed).that((double) taken).isAtLeast(50 * nowNanos / 1e9 - 10);
        }
    }

    private static long gap(List<Sample> samples, long from, long to) {
        return FigureCalculator.longestGap(samples, new FigureCalculator.GapWindow("db", from, to));
    }

    private static Sample write(String database, long dueMillis, int status) {
        return new Sample("a", database, true, dueMillis, 0, status, "", false, true, false);
    }

    private static Sample read(String account, int status, String refusal, boolean replica, boolean withinRate) {
        return new Sample(account, "db", false, 0, 1_000, status, refusal, replica, withinRate, false);
    }
}
