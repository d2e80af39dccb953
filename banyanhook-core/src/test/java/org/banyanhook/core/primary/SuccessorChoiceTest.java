package org.banyanhook.core.primary;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.banyanhook.core.primary.SuccessorChoice.Decision;
import org.banyanhook.core.primary.SuccessorChoice.LogReport;
import org.banyanhook.core.primary.UnresolvedPromotions.EarlierPromotion;
import org.banyanhook.core.replication.LogPosition;
import org.junit.jupiter.api.Test;

final class SuccessorChoiceTest {

    private static final LogPosition BEHIND = new LogPosition(3, 40);
    private static final LogPosition COMPLETE = new LogPosition(3, 70);
    private static final LogReport LEAVING_HOLDER = new LogReport("b", COMPLETE, false, false);
    private static final LogReport REPLICA = new LogReport("c", BEHIND, true, false);

    @Test
    void longestEligibleLogIsChosenWithoutSynchronousReplicas() {
        Decision decision = SuccessorChoice.builder()
                .reports(List.of(LEAVING_HOLDER, REPLICA, new LogReport("d", LogPosition.START, true, false)))
                .possibleHolders(Set.of("a", "b", "c", "d", "e"))
                .build()
                .decide();
        assertThat(decision.member()).hasValue("c");
        assertThat(decision.position()).isEqualTo(BEHIND);
    }

    @Test
    void nothingIsChosenWithoutReports() {
        assertThat(SuccessorChoice.builder().build().decide().member()).isEmpty();
        assertThat(synchronous().build().decide().member()).isEmpty();
    }

    @Test
    void longestLogIsChosenIfAsManyMembersAreSilentAsMayBe() {
        assertThat(synchronous()
                        .reports(List.of(LEAVING_HOLDER, REPLICA))
                        .build()
                        .decide()
                        .member())
                .hasValue("b");
    }

    @Test
    void silentMembersAreAwaitedIfThereAreMore() {
        Decision decision = synchronous().reports(List.of(REPLICA)).build().decide();
        assertThat(decision.member()).isEmpty();
        assertThat(decision.awaited()).containsExactly("a", "b").inOrder();
    }

    @Test
    void asManyMembersMayBeSilentAsReplicasReceiveACommit() {
        SuccessorChoice.Builder choice = SuccessorChoice.builder()
                .possibleHolders(Set.of("a", "b", "c", "d", "e"))
                .reports(List.of(LEAVING_HOLDER, REPLICA, new LogReport("d", BEHIND, true, false)));
        assertThat(choice.synchronousReplicas(1).build().decide().member()).isEmpty();
        assertThat(choice.synchronousReplicas(2).build().decide().member()).hasValue("b");
    }

    @Test
    void logOfThePrimaryThatSteppedDownSuffices() {
        SuccessorChoice.Builder choice = synchronous().reports(List.of(REPLICA));
        assertThat(choice.requiredPosition(BEHIND).build().decide().member()).hasValue("c");
        assertThat(choice.requiredPosition(COMPLETE).build().decide().member()).isEmpty();
    }

    @Test
    void earlierPromotionIsRepeatedWhileItsMemberHasItsLog() {
        EarlierPromotion own = new EarlierPromotion("c", BEHIND, true);
        assertThat(after(own, LEAVING_HOLDER, REPLICA).member()).hasValue("c");
        assertThat(after(own, LEAVING_HOLDER).member()).hasValue("c");
        assertThat(after(own, LEAVING_HOLDER, new LogReport("c", LogPosition.START, true, false))
                        .member())
                .isEmpty();
    }

    @Test
    void earlierPromotionByAnotherDaemonIsRepeatedOnlyIfItsMemberHasTheLongestLog() {
        assertThat(after(new EarlierPromotion("b", null, true), LEAVING_HOLDER, REPLICA)
                        .member())
                .hasValue("b");
        assertThat(after(new EarlierPromotion("b", null, true), LEAVING_HOLDER).member())
                .isEmpty();
        assertThat(after(new EarlierPromotion("c", null, true), LEAVING_HOLDER, REPLICA)
                        .member())
                .isEmpty();
    }

    @Test
    void earlierPromotionThatCannotBeCarriedOutAnyMoreIsIgnored() {
        EarlierPromotion lost = new EarlierPromotion("c", COMPLETE, false);
        assertThat(after(lost, LEAVING_HOLDER, REPLICA).member()).hasValue("b");
    }

    /** Guards against the loss of all commits to a member that started again without its log (review case 7). */
    @Test
    void earlierPromotionOfAMemberWithAnEmptyLogIsNotRepeatedWithoutSynchronousReplicasEither() {
        SuccessorChoice.Builder choice =
                SuccessorChoice.builder().reports(List.of(new LogReport("b", LogPosition.START, true, false), REPLICA));
        assertThat(choice.earlierPromotion(Optional.of(new EarlierPromotion("b", null, true)))
                        .build()
                        .decide()
                        .member())
                .isEmpty();
        assertThat(choice.earlierPromotion(Optional.of(new EarlierPromotion("b", COMPLETE, false)))
                        .build()
                        .decide()
                        .member())
                .hasValue("c");
    }

    @Test
    void earlierPromotionIsRepeatedInAGroupWithoutCommits() {
        Decision decision = SuccessorChoice.builder()
                .reports(List.of(
                        new LogReport("b", LogPosition.START, true, false),
                        new LogReport("c", LogPosition.START, true, false)))
                .earlierPromotion(Optional.of(new EarlierPromotion("b", null, true)))
                .build()
                .decide();
        assertThat(decision.member()).hasValue("b");
    }

    /** Guards against a former primary that is used in its old term as soon as its new promotion is recorded. */
    @Test
    void memberThatTakesItselfForThePrimaryStepsDownFirst() {
        LogReport former = new LogReport("b", COMPLETE, true, true);
        assertThat(SuccessorChoice.builder()
                        .reports(List.of(former))
                        .build()
                        .decide()
                        .stepsDownFirst())
                .isTrue();
        assertThat(after(new EarlierPromotion("b", COMPLETE, true), former, REPLICA)
                        .stepsDownFirst())
                .isTrue();
        assertThat(synchronous()
                        .reports(List.of(LEAVING_HOLDER, REPLICA))
                        .build()
                        .decide()
                        .stepsDownFirst())
                .isFalse();
    }

    @Test
    void negativeNumberOfReplicasIsRefused() {
        assertThrows(
                IllegalArgumentException.class, () -> SuccessorChoice.builder().synchronousReplicas(-1));
    }

    private static SuccessorChoice.Builder synchronous() {
        return SuccessorChoice.builder().synchronousReplicas(1).possibleHolders(Set.of("a", "b", "c"));
    }

    private static Decision after(EarlierPromotion earlier, LogReport... reports) {
        return synchronous()
                .reports(List.of(reports))
                .earlierPromotion(Optional.of(earlier))
                .build()
                .decide();
    }
}
