package org.banyanhook.testbed.soak;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import org.banyanhook.testbed.soak.SoakHistory.Freshness;
import org.banyanhook.testbed.soak.SoakHistory.Outcome;
import org.banyanhook.testbed.soak.SoakHistory.Read;
import org.banyanhook.testbed.soak.SoakHistory.Write;
import org.junit.jupiter.api.Test;

/** Guards against checks of the soak that accept a violation: each check is given a history that it has to reject. */
final class SoakHistoryTest {

    private static final long SECOND_NANOS = 1_000_000_000L;

    private final SoakHistory history = new SoakHistory();

    @Test
    void reportsNoViolationWhenEachAcknowledgedWriteIsInTheLogOnce() {
        history.add(new Write("a", 1, SECOND_NANOS, Outcome.ACKNOWLEDGED, "s"));
        history.add(new Read("a", 1, 2 * SECOND_NANOS, Freshness.CURRENT, "other", 0));
        assertThat(check(1)).isEmpty();
    }

    @Test
    void reportsLostAcknowledgedWrite() {
        history.add(new Write("a", 1, SECOND_NANOS, Outcome.ACKNOWLEDGED, "s"));
        assertThat(check(0)).containsExactly("lost: a 1");
    }

    @Test
    void acceptsRolledBackWriteUnlessSupersededPrimaryCommittedIt() {
        history.add(new Write("a", 1, SECOND_NANOS, Outcome.ACKNOWLEDGED, "s"));
        assertThat(history.check(text -> 0, Set.of("a 1"), Set.of())).isEmpty();
        assertThat(history.countRolledBackAcknowledged(Set.of("a 1"))).isEqualTo(1);
        assertThat(history.check(text -> 0, Set.of("a 1"), Set.of("a 1")))
                .containsExactly("acknowledged by a superseded primary: a 1");
    }

    @Test
    void reportsKeptWriteWhoseAnswerWasCutOff() {
        history.addUnansweredWrite("a 1");
        assertThat(check(0)).isEmpty();
        assertThat(check(1)).containsExactly("cut off, but kept: a 1");
    }

    @Test
    void reportsDuplicateWrite() {
        history.add(new Write("a", 1, SECOND_NANOS, Outcome.UNKNOWN, "s"));
        assertThat(check(2)).containsExactly("run twice: a 1, 2 times");
    }

    @Test
    void reportsAppliedWriteThatWasAnsweredAsNotExecuted() {
        history.add(new Write("a", 1, SECOND_NANOS, Outcome.NOT_KEPT, "s"));
        assertThat(check(1)).containsExactly("said not to have run, but kept: a 1");
    }

    @Test
    void reportsStaleReadAccordingToItsFreshness() {
        history.add(new Write("a", 1, SECOND_NANOS, Outcome.ACKNOWLEDGED, "s"));
        history.add(new Read("a", 0, 2 * SECOND_NANOS, Freshness.BOUNDED, "other", 0));
        history.add(new Read("a", 0, 2 * SECOND_NANOS, Freshness.OWN, "other", 0));
        assertThat(check(1)).isEmpty();
        history.add(new Read("a", 0, 2 * SECOND_NANOS, Freshness.OWN, "s", 1));
        history.add(new Read("a", 0, 2 * SECOND_NANOS, Freshness.CURRENT, "other", 2));
        history.add(new Read("a", 0, 4 * SECOND_NANOS, Freshness.BOUNDED, "other", 3));
        assertThat(check(1)).hasSize(3);
    }

    private List<String> check(long occurrences) {
        return history.check(text -> occurrences, Set.of(), Set.of());
    }
}
