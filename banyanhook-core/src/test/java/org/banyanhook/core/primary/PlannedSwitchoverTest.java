package org.banyanhook.core.primary;

import static com.google.common.truth.Truth.assertWithMessage;
import static org.banyanhook.core.primary.TestGroups.SECOND;
import static org.banyanhook.core.primary.TestGroups.primary;
import static org.banyanhook.core.primary.TestGroups.replica;

import java.util.Set;
import org.banyanhook.core.primary.PlannedSwitchover.Step;
import org.junit.jupiter.api.Test;

final class PlannedSwitchoverTest {

    private static final long START = 100 * SECOND;
    private static final Set<String> PRIMARY_DOMAIN_TAKEN_OUT = Set.of("d0");

    private final PlannedSwitchover switchover = new PlannedSwitchover();

    @Test
    void holdsRequestsThenProposesOnceTheSuccessorHasCaughtUp() {
        assertStep(view(50, 40, START), START, Step.READ);
        assertStep(view(50, 40, START), START + 1, Step.READ);
        assertStep(view(50, 40, START), START + 2, Step.HOLD);
        assertStep(view(52, 52, START + 3), START + 3, Step.READ);
        assertStep(view(52, 51, START + SECOND / 10), START + SECOND / 10, Step.READ);
        assertStep(view(52, 52, START + SECOND / 5), START + SECOND / 5, Step.PROPOSE);
    }

    @Test
    void waitsBeforeTheHoldWhileTheSuccessorLags() {
        assertStep(view(5000, 40, START), START, Step.READ);
        assertStep(view(5000, 40, START), START + 1, Step.READ);
        assertStep(view(5000, 40, START), START + 2, Step.READ);
        assertStep(view(5000, 4900, START + SECOND), START + SECOND, Step.HOLD);
    }

    @Test
    void proposesWithinABoundedTimeWhenTheSuccessorLags() {
        long now = START;
        Step step = Step.NONE;
        while (step != Step.PROPOSE && now < START + 15 * SECOND) {
            now += SECOND / 20;
            step = switchover
                    .decide(view(5000, 40, now), PRIMARY_DOMAIN_TAKEN_OUT, 0, now)
                    .step();
        }
        assertWithMessage("after %s ms", (now - START) / 1_000_000).that(step).isEqualTo(Step.PROPOSE);
    }

    @Test
    void doesNothingIfThePrimaryMayStayOrHasNoSuccessor() {
        assertWithMessage("may stay")
                .that(switchover
                        .decide(view(5, 5, START), Set.of("d1"), 0, START)
                        .step())
                .isEqualTo(Step.NONE);
        assertWithMessage("no other member")
                .that(switchover
                        .decide(view(5, 5, START), Set.of("d0", "d1", "d2"), 0, START)
                        .step())
                .isEqualTo(Step.NONE);
    }

    @Test
    void laterRanksWaitLonger() {
        assertWithMessage("first")
                .that(switchover
                        .decide(view(5, 5, START), PRIMARY_DOMAIN_TAKEN_OUT, 1, START)
                        .step())
                .isEqualTo(Step.READ);
        long afterOneSecond = START + SECOND;
        assertWithMessage("after one second")
                .that(switchover
                        .decide(view(5, 5, afterOneSecond), PRIMARY_DOMAIN_TAKEN_OUT, 1, afterOneSecond)
                        .step())
                .isEqualTo(Step.NONE);
    }

    private void assertStep(GroupView view, long now, Step expected) {
        PlannedSwitchover.Decision decision = switchover.decide(view, PRIMARY_DOMAIN_TAKEN_OUT, 0, now);
        assertWithMessage("%s", decision.reason()).that(decision.step()).isEqualTo(expected);
    }

    private static GroupView view(long primaryPosition, long successorPosition, long readBegan) {
        return TestGroups.view(
                primary("m0", 3, primaryPosition, readBegan), replica("m1", 3, "m0", successorPosition, readBegan));
    }
}
