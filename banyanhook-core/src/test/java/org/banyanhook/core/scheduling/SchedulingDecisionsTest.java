package org.banyanhook.core.scheduling;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import org.banyanhook.core.scheduling.AdmissionEstimator.QueueState;
import org.banyanhook.core.scheduling.AdmissionEstimator.Reason;
import org.junit.jupiter.api.Test;

/** Tables of the decisions on rejection, on retries at a busy primary, and on the pace after a promotion. */
final class SchedulingDecisionsTest {

    private static final long MILLI = 1_000_000;

    /** Guards against refusals of requests that could be served, and against waits that are useless. */
    @Test
    void estimatorRefusesOnlyWhatCannotBeServedInTime() {
        record Case(int samples, double ahead, int places, boolean serving, long remainingMillis, Reason reason) {}
        List<Case> cases = List.of(
                new Case(19, 1_000, 1, true, 100, Reason.UNKNOWN),
                new Case(20, 1_000, 0, true, 100, Reason.UNKNOWN),
                new Case(20, 10, 1, true, 100, Reason.IN_TIME),
                new Case(20, 20, 1, true, 100, Reason.IN_TIME),
                new Case(20, 20.1, 1, true, 100, Reason.QUEUE_TOO_LONG),
                new Case(20, 20.1, 2, true, 100, Reason.IN_TIME),
                new Case(20, 20, 1, false, 100, Reason.IN_TIME),
                new Case(20, 20.1, 1, false, 100, Reason.PRIMARY_AWAY));
        for (Case expected : cases) {
            AdmissionEstimator estimator = new AdmissionEstimator();
            for (int sample = 0; sample < expected.samples(); sample++) {
                estimator.recordHold(10 * MILLI);
            }
            AdmissionEstimator.Estimate estimate = estimator.estimate(
                    new QueueState(expected.ahead(), expected.places(), expected.serving()),
                    expected.remainingMillis() * MILLI);
            assertWithMessage("%s", expected).that(estimate.reason()).isEqualTo(expected.reason());
        }
    }

    /** Guards against connections of idle transactions that are counted as places, which makes the estimate too low. */
    @Test
    void placesHeldForLongDoNotCount() {
        AdmissionEstimator estimator = new AdmissionEstimator();
        for (int sample = 0; sample < 20; sample++) {
            assertThat(estimator.countsAsPlace(1_000 * MILLI)).isTrue();
            estimator.recordHold(10 * MILLI);
        }
        assertThat(estimator.countsAsPlace(40 * MILLI)).isTrue();
        assertThat(estimator.countsAsPlace(41 * MILLI)).isFalse();
    }

    /** Guards against retries that arrive together, after the statement's time, or beyond the budget. */
    @Test
    void busyRetriesBackOffWithinTheTimeLeftAndTheBudget() {
        record Case(int retries, long remaining, double draw, boolean budget, BusyRetry.Reason reason, long delay) {}
        List<Case> cases = List.of(
                new Case(0, 1_000, 0, true, BusyRetry.Reason.RETRY, 10),
                new Case(0, 1_000, 1, true, BusyRetry.Reason.RETRY, 20),
                new Case(2, 1_000, 0.5, true, BusyRetry.Reason.RETRY, 60),
                new Case(60, 1_000, 1, true, BusyRetry.Reason.RETRY, 320),
                new Case(1, 59, 1, true, BusyRetry.Reason.NO_TIME, 0),
                new Case(1, 60, 1, true, BusyRetry.Reason.RETRY, 40),
                new Case(0, 1_000, 0, false, BusyRetry.Reason.BUDGET_EXHAUSTED, 0));
        for (Case expected : cases) {
            BusyRetry.Decision decision = BusyRetry.decide(
                    expected.retries(), expected.remaining() * MILLI, expected.draw(), () -> expected.budget());
            assertWithMessage("%s", expected)
                    .that(decision)
                    .isEqualTo(new BusyRetry.Decision(expected.reason(), expected.delay() * MILLI));
        }
    }

    /** Guards against a slow start that does not double, or that does not end when its answers are enough. */
    @Test
    void paceDoublesWithEachRoundOfAnswersAndEnds() {
        ReleasePace pace = new ReleasePace();
        assertThat(pace.begin(0, 60, 0.5, 6)).isEqualTo(30 * MILLI);
        assertThat(pace.allows(29 * MILLI)).isFalse();
        long now = 30 * MILLI;
        for (int round : List.of(1, 2, 4)) {
            assertThat(send(pace, now)).isEqualTo(round);
            for (int answer = 0; answer < round; answer++) {
                pace.recordAnswer(false, now);
            }
        }
        assertThat(pace.isLimiting()).isFalse();
    }

    /** Guards against a limit that remains when the primary refuses or does not answer. */
    @Test
    void paceDoesNotGrowWhileThePrimaryIsBusyAndEndsByItself() {
        ReleasePace pace = new ReleasePace();
        pace.begin(0, 1, 0, 6);
        assertThat(send(pace, 0)).isEqualTo(1);
        pace.recordAnswer(true, 10 * MILLI);
        assertThat(send(pace, 10 * MILLI)).isEqualTo(1);
        assertThat(send(pace, 109 * MILLI)).isEqualTo(0);
        assertThat(send(pace, 110 * MILLI)).isEqualTo(1);
        for (int answer = 0; answer < 11; answer++) {
            pace.recordAnswer(false, 120 * MILLI);
        }
        assertThat(send(pace, 120 * MILLI)).isEqualTo(2);
        assertThat(pace.allows(3_000 * MILLI)).isTrue();
        assertThat(pace.isLimiting()).isFalse();
    }

    private static int send(ReleasePace pace, long now) {
        int sent = 0;
        while (sent < 100 && pace.allows(now)) {
            pace.recordSent(now);
            sent++;
        }
        return sent;
    }
}
