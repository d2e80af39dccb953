package org.banyanhook.core.scheduling;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Tests that reports are combined by their number of answers and their age. */
final class LearnedCapacityTest {

    private static final long MILLI = 1_000_000;
    private static final long SECOND = 1_000 * MILLI;

    private final LearnedCapacity capacity = new LearnedCapacity(4, 0);

    /** A new daemon would have to learn by itself which members are slow. */
    @Test
    void startsWithTheValuesOfItsNeighbours() {
        report("a", 70, 10, 0);
        capacity.refresh(1, 1, 0);
        assertThat(capacity.serviceMillis()).isGreaterThan(60.0);
    }

    /** A report with more or newer answers says more of the member. */
    @Test
    void recentReportsAndOnesOfManyAnswersHaveMoreWeight() {
        report("many", 70, 20, 0);
        report("few", 10, 1, 0);
        report("old", 10, 20, 8 * SECOND);
        capacity.refresh(3, 3, 0);
        assertThat(capacity.serviceMillis()).isGreaterThan(60.0);
    }

    /** A recovered member would not regain its share as long as its neighbours' old reports count. */
    @Test
    void freshAnswersReplaceOldOnesWithinSeconds() {
        report("a", 70, 10, 0);
        report("b", 70, 10, 0);
        for (int answer = 1; answer <= 4; answer++) {
            capacity.recordAnswer(14 * MILLI, 0, answer * SECOND);
        }
        capacity.refresh(2, 2, 4 * SECOND);
        assertThat(capacity.serviceMillis()).isLessThan(45.0);
        capacity.refresh(2, 2, 11 * SECOND);
        assertThat(capacity.serviceMillis()).isLessThan(20.0);
    }

    /** Values outside of what a member can have came from a faulty sender, or from before a pause. */
    @Test
    void implausibleAndOldReportsAreIgnored() {
        report("old", 500, 10, LearnedCapacity.MAXIMUM_REPORT_AGE_NANOS);
        report("negative age", 500, 10, -1);
        report("no service time", 0, 10, 0);
        report("no answers", 500, 0, 0);
        capacity.refresh(4, 4, 0);
        assertThat(capacity.serviceMillis()).isEqualTo(CapacityEstimator.INITIAL_SERVICE_MILLIS);
        assertThat(capacity.inFlight(0, 0)).isEqualTo(0.0);
    }

    /** After a pause the age of what was learned is not known. */
    @Test
    void clearedCapacityHasNothingToReport() {
        capacity.recordAnswer(70 * MILLI, 0, SECOND);
        report("a", 70, 10, 0);
        capacity.clear(SECOND);
        capacity.refresh(1, 1, SECOND);
        assertThat(capacity.report(0, SECOND).answers()).isEqualTo(0.0);
        assertThat(capacity.serviceMillis()).isEqualTo(CapacityEstimator.INITIAL_SERVICE_MILLIS);
    }

    /** One daemon alone does not see that a member is full. */
    @Test
    void workOfOtherDaemonsCounts() {
        double before = capacity.expectedMillis(0, 0);
        for (int sender = 0; sender < 10; sender++) {
            report("daemon-" + sender, CapacityEstimator.INITIAL_SERVICE_MILLIS, 10, 0);
        }
        capacity.refresh(10, 60, 0);
        assertThat(capacity.inFlight(0, 0)).isWithin(0.01).of(60 * 5 * 0.015);
        assertThat(capacity.utilization(0, 0)).isGreaterThan(1.0);
        assertThat(capacity.expectedMillis(0, 0)).isGreaterThan(before);
    }

    /** The memory for reports must not grow with the names that senders use. */
    @Test
    void sendersAreBounded() {
        for (int sender = 0; sender < LearnedCapacity.MAXIMUM_SENDERS; sender++) {
            report("daemon-" + sender, CapacityEstimator.INITIAL_SERVICE_MILLIS, 1, 0);
        }
        report("another", 10_000, 1_000, 0);
        capacity.refresh(1, 1, 0);
        assertThat(capacity.serviceMillis()).isWithin(0.01).of(CapacityEstimator.INITIAL_SERVICE_MILLIS);
    }

    private void report(String sender, double serviceMillis, double answers, long ageNanos) {
        capacity.recordReport(sender, new CapacityReport(serviceMillis, 4, 0, answers, ageNanos), 0);
    }
}
