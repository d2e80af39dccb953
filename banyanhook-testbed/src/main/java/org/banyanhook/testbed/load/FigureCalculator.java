package org.banyanhook.testbed.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;

/** Computes the figures of an experiment from its samples. */
final class FigureCalculator {

    private static final long MILLIS_PER_SECOND = 1_000;
    private static final double MICROS_PER_MILLI = 1_000;
    private static final int HISTOGRAM_DIGITS = 3;
    private static final double HIGH_PERCENTILE = 99;
    private static final double MEDIAN_PERCENTILE = 50;
    private static final String RATE_REFUSAL = "rate-exceeded";

    private FigureCalculator() {}

    /** The time in which the writes of one database were observed around a killed primary. */
    record GapWindow(String database, long fromMillis, long toMillis) {}

    static Figures calculate(
            List<Sample> samples, List<GapWindow> windows, long durationMillis, LogChecker.Result log) {
        List<Sample> reads = samples.stream()
                .filter(sample -> !sample.write() && sample.succeeded())
                .toList();
        long replicaReads = reads.stream().filter(Sample::replica).count();
        List<Sample> withinRate = samples.stream().filter(Sample::withinRate).toList();
        long wronglyRefused = withinRate.stream()
                .filter(sample -> sample.refusal().equals(RATE_REFUSAL))
                .count();
        return new Figures(
                reads.size(),
                share(replicaReads, reads.size()),
                reads.stream().filter(Sample::stale).count(),
                windows.stream().map(window -> longestGap(samples, window)).toList(),
                accounts(samples),
                wronglyRefused,
                withinRate.size(),
                refusals(samples),
                perSecond(samples.stream().filter(Sample::succeeded).toList(), Sample::answeredMillis, durationMillis),
                perSecond(samples, Sample::dueMillis, durationMillis),
                log);
    }

    /** Returns the longest time in a window without an acknowledged write on its database. */
    static long longestGap(List<Sample> samples, GapWindow window) {
        List<Long> acknowledged = samples.stream()
                .filter(sample -> sample.write()
                        && sample.succeeded()
                        && sample.database().equals(window.database()))
                .map(Sample::answeredMillis)
                .filter(millis -> millis > window.fromMillis() && millis < window.toMillis())
                .sorted()
                .toList();
        long longest = 0;
        long last = window.fromMillis();
        for (long millis : acknowledged) {
            longest = Math.max(longest, millis - last);
            last = millis;
        }
        return Math.max(longest, window.toMillis() - last);
    }

    private static List<Figures.AccountFigures> accounts(List<Sample> samples) {
        Map<String, List<Sample>> byAccount = samples.stream().collect(Collectors.groupingBy(Sample::account));
        return byAccount.entrySet().stream()
                .map(entry -> account(entry.getKey(), entry.getValue()))
                .sorted(Comparator.comparingDouble(Figures.AccountFigures::successShare)
                        .thenComparing(Comparator.comparingDouble(Figures.AccountFigures::highMillis)
                                .reversed()))
                .toList();
    }

    private static Figures.AccountFigures account(String name, List<Sample> samples) {
        Histogram latencies = new Histogram(HISTOGRAM_DIGITS);
        samples.stream()
                .filter(Sample::succeeded)
                .forEach(sample -> latencies.recordValue(Math.max(0, sample.latencyMicros())));
        long within = samples.stream().filter(Sample::withinRate).count();
        long served = samples.stream()
                .filter(sample -> sample.withinRate() && sample.succeeded())
                .count();
        return new Figures.AccountFigures(
                name,
                samples.size(),
                within,
                share(served, within),
                latencies.getValueAtPercentile(MEDIAN_PERCENTILE) / MICROS_PER_MILLI,
                latencies.getValueAtPercentile(HIGH_PERCENTILE) / MICROS_PER_MILLI);
    }

    private static Map<String, Long> refusals(List<Sample> samples) {
        return samples.stream()
                .filter(sample -> !sample.succeeded())
                .collect(Collectors.groupingBy(
                        sample -> sample.status() == 0 ? "no-answer" : sample.refusal(),
                        TreeMap::new,
                        Collectors.counting()));
    }

    private static List<Long> perSecond(List<Sample> samples, ToLongFunction<Sample> millis, long durationMillis) {
        int seconds = (int) (durationMillis / MILLIS_PER_SECOND);
        long[] counts = new long[seconds];
        for (Sample sample : samples) {
            int second = (int) (millis.applyAsLong(sample) / MILLIS_PER_SECOND);
            if (second < seconds) {
                counts[second]++;
            }
        }
        List<Long> result = new ArrayList<>();
        for (long count : counts) {
            result.add(count);
        }
        return result;
    }

    private static double share(long part, long whole) {
        return whole == 0 ? 0 : (double) part / whole;
    }
}
