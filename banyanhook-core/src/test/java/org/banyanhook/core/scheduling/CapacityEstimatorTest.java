package org.banyanhook.core.scheduling;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.function.DoubleUnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests the estimates on seeded loads of a member of 4 slots in virtual time. */
final class CapacityEstimatorTest {

    private static final int SLOTS = 4;
    private static final int QUEUE = 32;
    private static final int SEEDS = 20;
    private static final double WORK_MILLIS = 14;
    private static final long MILLI = 1_000_000;

    /**
     * A load: how much slower the member is and its knee by the second, the share of its capacity that is used, the
     * share of statements that take 7 times as long, and the share of answers that the daemon sees; and the largest
     * mean errors, as logarithms of the quotient of estimate and truth, at about 1.2 times the measured ones.
     */
    private enum Load {
        CALM(second -> 1, second -> SLOTS, 0.6, 0, 0.1, 0.25, 0.05),
        FIVE_TIMES_SLOWER(second -> second < 15 ? 1 : 5, second -> SLOTS, 0.6, 0, 0.1, 0.32, 0.2),
        RAMP(second -> Math.max(1, Math.min(5, 1 + (second - 10) * 0.4)), second -> SLOTS, 0.6, 0, 0.1, 0.3, 0.2),
        LONG_TAIL(second -> 1, second -> SLOTS, 0.6, 0.05, 0.1, 0.45, 0.52),
        FEW_ANSWERS(second -> 1, second -> SLOTS, 0.6, 0, 0.016, 0.3, 0.05),
        COLD_CACHE(second -> second > 15 && second < 18 ? 3 : 1, second -> SLOTS, 0.6, 0, 0.1, 0.26, 0.14),
        SLOWS_BEFORE_FULL(second -> 1, second -> 2, 0.7, 0, 0.1, 0.55, 0.25),
        TRADES_PLACES(second -> second < 15 ? 3 : 1, second -> SLOTS, 0.6, 0, 0.1, 0.32, 0.2);

        final DoubleUnaryOperator slowness;
        final DoubleUnaryOperator knee;
        final double use;
        final double tail;
        final double visible;
        final double serviceError;
        final double kneeError;

        Load(
                DoubleUnaryOperator slowness,
                DoubleUnaryOperator knee,
                double use,
                double tail,
                double visible,
                double serviceError,
                double kneeError) {
            this.slowness = slowness;
            this.knee = knee;
            this.use = use;
            this.tail = tail;
            this.visible = visible;
            this.serviceError = serviceError;
            this.kneeError = kneeError;
        }
    }

    private record Answer(double second, double millis) {}

    /** Waiting that others cause was taken for slowness, and a slow member for a busy one. */
    @ParameterizedTest
    @EnumSource(Load.class)
    void tellsServiceTimeAndKneeFromWaiting(Load load) {
        double serviceError = 0;
        double kneeError = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            double[] errors = run(load, new Random(seed));
            serviceError += errors[0] / SEEDS;
            kneeError += errors[1] / SEEDS;
        }

        assertWithMessage("service time").that(serviceError).isLessThan(load.serviceError);
        assertWithMessage("knee").that(kneeError).isLessThan(load.kneeError);
    }

    /** A member that fails at once would otherwise be the quickest. */
    @Test
    void memberThatFailsFastDoesNotLookQuick() {
        CapacityEstimator estimator = new CapacityEstimator(SLOTS, 0);
        for (int answer = 1; answer <= 50; answer++) {
            estimator.recordFailure(MILLI, answer * 100 * MILLI);
        }
        assertThat(estimator.serviceMillis()).isGreaterThan(100.0);
        for (int answer = 51; answer <= 80; answer++) {
            estimator.recordAnswer(14 * MILLI, 1, answer * 100 * MILLI);
        }
        assertThat(estimator.serviceMillis()).isLessThan(20.0);
    }

    /** An estimate of 0 would never rise again. */
    @Test
    void answersWithoutMeasurableLatencyAreFollowedByOthers() {
        CapacityEstimator estimator = new CapacityEstimator(SLOTS, 0);
        for (int answer = 0; answer < 40; answer++) {
            estimator.recordAnswer(0, 1, answer * 1_000 * MILLI);
        }
        for (int answer = 40; answer < 60; answer++) {
            estimator.recordAnswer(14 * MILLI, 1, answer * 1_000 * MILLI);
        }
        assertThat(estimator.serviceMillis()).isWithin(2.0).of(14);
    }

    private static double[] run(Load load, Random random) {
        CapacityEstimator estimator = new CapacityEstimator(SLOTS, 0);
        double mean = WORK_MILLIS * (1 + 6 * load.tail);
        double rate = 0;
        double last = 0;
        double visibleMillis = WORK_MILLIS;
        double serviceError = 0;
        double kneeError = 0;
        int counted = 0;
        for (Answer answer : answers(load, random)) {
            rate = rate * Math.exp(-(answer.second() - last) / 2) + 0.5;
            last = answer.second();
            if (random.nextDouble() < load.visible) {
                visibleMillis += 0.2 * (answer.millis() - visibleMillis);
                double inFlight = rate * visibleMillis / 1e3;
                estimator.recordAnswer((long) (answer.millis() * MILLI), inFlight, (long) (last * 1e3 * MILLI));
            }
            if (last > 5) {
                counted++;
                serviceError +=
                        Math.abs(Math.log(estimator.serviceMillis() / mean / load.slowness.applyAsDouble(last)));
                kneeError += Math.abs(Math.log(estimator.knee() / load.knee.applyAsDouble(last)));
            }
        }
        return new double[] {serviceError / counted, kneeError / counted};
    }

    /**
     * Returns the answers of 30 s of arrivals, with 70 percent more or less than the mean load; beyond its queue it
     * refuses.
     */
    private static List<Answer> answers(Load load, Random random) {
        double[] slotFree = new double[SLOTS];
        List<Answer> answers = new ArrayList<>();
        double now = 0;
        while (now < 30) {
            double capacity = 1e3 * load.knee.applyAsDouble(now) / WORK_MILLIS / load.slowness.applyAsDouble(now);
            double rate = Math.min(250, capacity) * load.use * (1 + 0.7 * Math.sin(now * 2 * Math.PI / 7));
            now -= Math.log(1 - random.nextDouble()) / Math.max(8, rate);
            int first = 0;
            for (int slot = 1; slot < SLOTS; slot++) {
                first = slotFree[slot] < slotFree[first] ? slot : first;
            }
            double start = Math.max(now, slotFree[first]);
            if ((start - now) * 1e3 > QUEUE * WORK_MILLIS * load.slowness.applyAsDouble(now) / SLOTS) {
                continue;
            }
            int running = 1;
            for (double free : slotFree) {
                running += free > start ? 1 : 0;
            }
            double work = WORK_MILLIS * Math.exp(0.5 * random.nextGaussian() - 0.125);
            work *= random.nextDouble() < load.tail ? 7 : 1;
            work *= load.slowness.applyAsDouble(start) * Math.max(1, running / load.knee.applyAsDouble(start));
            slotFree[first] = start + work / 1e3;
            answers.add(new Answer(slotFree[first], (slotFree[first] - now) * 1e3));
        }
        answers.sort(Comparator.comparingDouble(Answer::second));
        return answers;
    }
}
