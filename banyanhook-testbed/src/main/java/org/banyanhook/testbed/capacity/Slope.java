package org.banyanhook.testbed.capacity;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * A straight line fitted to samples by least squares.
 *
 * @param intercept the value at size 0
 * @param perUnit how much the value grows with each unit of size
 */
public record Slope(double intercept, double perUnit) {

    private static final int MINIMUM_SAMPLES = 3;

    /**
     * Fits a line.
     *
     * @param samples samples at three sizes or more
     * @param value the value to fit
     * @return the line with the least squared error
     * @throws IllegalArgumentException if there are fewer than three samples
     */
    public static Slope fit(List<Sample> samples, ToDoubleFunction<Sample> value) {
        checkArgument(samples.size() >= MINIMUM_SAMPLES, "a slope needs 3 samples, got %s", samples.size());
        double meanSize = samples.stream().mapToDouble(Sample::size).average().orElse(0);
        double meanValue = samples.stream().mapToDouble(value).average().orElse(0);
        double covariance = 0;
        double variance = 0;
        for (Sample sample : samples) {
            double distance = sample.size() - meanSize;
            covariance += distance * (value.applyAsDouble(sample) - meanValue);
            variance += distance * distance;
        }
        checkArgument(variance > 0, "a slope needs samples of different sizes");
        double perUnit = covariance / variance;
        return new Slope(meanValue - perUnit * meanSize, perUnit);
    }

    /**
     * Returns the value of the line at a size, never below 0.
     *
     * @param size the size to work out
     * @return the value
     */
    public double at(double size) {
        return Math.max(0, intercept + perUnit * size);
    }
}
