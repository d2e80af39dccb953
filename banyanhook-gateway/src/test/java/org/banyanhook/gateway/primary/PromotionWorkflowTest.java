package org.banyanhook.gateway.primary;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.banyanhook.core.replication.LogPosition;
import org.banyanhook.core.store.StoreRevision;
import org.banyanhook.gateway.GatewayFixture;
import org.banyanhook.gateway.port.PromotionAuthority;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Replacements of primaries by the only daemon of a fleet. */
final class PromotionWorkflowTest {

    private final PromotionFixture promotions = new PromotionFixture();
    private final GatewayFixture gateway = promotions.gateway();
    private final ScriptedProbe members = promotions.members();
    private final List<String> requests = promotions.requests();
    private final Set<String> rejected = new HashSet<>();
    private PromotionWorkflow workflow = promotions.newWorkflow();

    @BeforeEach
    void listMembers() {
        gateway.list("a", true);
        gateway.list("b", false);
        gateway.list("c", false);
        members.set("a", true, 1, new LogPosition(1, 9));
        members.set("b", false, 1, new LogPosition(1, 8));
        members.set("c", false, 1, new LogPosition(1, 7));
    }

    @AfterEach
    void close() {
        promotions.close();
    }

    /** The primary leads term 2 but has not committed since, so its log and all answers end in term 1. */
    @Test
    void primaryWithoutCommitsSinceItsPromotionStepsDownBeforeItIsReplaced() {
        members.set("a", true, 2, new LogPosition(1, 9));
        members.set("b", false, 2, new LogPosition(1, 9));
        replace(PromotionController.Reason.LEAVING);
        assertThat(members.stepDownTerms()).containsExactly(3L);
        assertThat(members.report("a").primary()).isFalse();
        assertThat(requests).containsExactly("b");
    }

    @Test
    void primaryThatDoesNotStepDownIsNotReplaced() {
        members.obstinate(true);
        String outcome = replace(PromotionController.Reason.LEAVING);
        assertThat(outcome).contains("did not step down");
        assertThat(requests).isEmpty();
    }

    @Test
    void primaryThatWasPromotedMeanwhileIsToldAgainWithAHigherTerm() {
        members.beforeStepDown(() -> members.set("a", true, 5, new LogPosition(1, 9)));
        replace(PromotionController.Reason.LEAVING);
        assertThat(members.stepDownTerms()).containsExactly(2L, 6L).inOrder();
        assertThat(requests).containsExactly("b");
    }

    @Test
    void primaryThatHasSteppedDownAlreadyIsNotToldAgain() {
        members.set("a", false, 1, new LogPosition(1, 9));
        replace(PromotionController.Reason.LEAVING);
        assertThat(members.stepDownTerms()).isEmpty();
        assertThat(requests).containsExactly("b");
    }

    /** The old primary, which has the longest log, is back before the platform can be reached again. */
    @Test
    void requestWithoutAnAnswerIsRepeatedBeforeAnotherMemberIsPromoted() {
        promotions.authorityAnswers(PromotionAuthority.Result.NO_ANSWER);
        members.remove("a");
        replace(PromotionController.Reason.UNREACHABLE);
        assertThat(Set.copyOf(requests)).containsExactly("b");
        members.set("a", true, 1, new LogPosition(1, 9));
        requests.clear();
        replace(PromotionController.Reason.ABSENT);
        assertThat(Set.copyOf(requests)).containsExactly("b");
        promotions.authorityAnswers(PromotionAuthority.Result.REJECTED);
        replace(PromotionController.Reason.ABSENT);
        requests.clear();
        promotions.authorityAnswers(PromotionAuthority.Result.ACCEPTED);
        replace(PromotionController.Reason.ABSENT);
        assertThat(requests).containsExactly("a");
    }

    @Test
    void requestThatThePlatformRefusedLeavesTheChoiceFree() {
        promotions.authorityAnswers(PromotionAuthority.Result.REFUSED);
        members.remove("a");
        replace(PromotionController.Reason.UNREACHABLE);
        gateway.advanceMillis(11_000);
        members.set("a", true, 1, new LogPosition(1, 9));
        requests.clear();
        replace(PromotionController.Reason.ABSENT);
        assertThat(Set.copyOf(requests)).containsExactly("a");
    }

    /** Another daemon has recorded a promotion and lost its lease; it may have sent the request. */
    @Test
    void daemonThatTakesOverPromotesTheRecordedMemberFirst() {
        gateway.recordPromotion("c");
        workflow = promotions.newWorkflow();
        replace(PromotionController.Reason.ABSENT);
        assertThat(requests).containsExactly("c");
    }

    /**
     * Guards against commits of a former primary in its old term (review case 8): a daemon that reads the record of its
     * new promotion takes its old report for the new one.
     */
    @Test
    void formerPrimaryStepsDownBeforeItsNewPromotionIsRecorded() {
        gateway.recordPromotion("b");
        members.remove("b");
        workflow = promotions.newWorkflow();
        gateway.advanceMillis(10_000);
        List<Boolean> recordedBefore = new ArrayList<>();
        members.beforeStepDown(
                () -> recordedBefore.add(!promotions.store().expectedRevisions().isEmpty()));
        replace(PromotionController.Reason.ABSENT);
        assertThat(recordedBefore).containsExactly(false);
        assertThat(members.report("a").primary()).isFalse();
        assertThat(requests).containsExactly("a");
    }

    /** Guards against the same commits where the former primary ignores the command. */
    @Test
    void formerPrimaryThatDoesNotStepDownIsNotPromoted() {
        gateway.recordPromotion("b");
        members.remove("b");
        members.obstinate(true);
        workflow = promotions.newWorkflow();
        gateway.advanceMillis(10_000);
        assertThat(replace(PromotionController.Reason.ABSENT)).contains("did not step down");
        assertThat(promotions.store().expectedRevisions()).isEmpty();
        assertThat(requests).isEmpty();
    }

    /**
     * Guards against the loss of all commits to a recorded member that started again without its log (review case 7).
     */
    @Test
    void recordedMemberWithoutItsLogIsNotPromotedBeforeOthers() {
        gateway.recordPromotion("c");
        members.remove("a");
        members.set("c", false, 0, LogPosition.START);
        workflow = promotions.newWorkflow();
        assertThat(replace(PromotionController.Reason.ABSENT)).contains("its log is empty");
        assertThat(requests).isEmpty();
        gateway.advanceMillis(10_000);
        replace(PromotionController.Reason.ABSENT);
        assertThat(requests).containsExactly("b");
    }

    /** A record that was written although its answer was lost must not replace a later one. */
    @Test
    void promotionIsRecordedOnlyIfItsRecordHasNotChanged() {
        gateway.recordPromotion("a");
        StoreRevision revision = gateway.directory().promotionRevision(GatewayFixture.GROUP);
        members.remove("a");
        replace(PromotionController.Reason.UNREACHABLE);
        assertThat(promotions.store().expectedRevisions()).containsExactly(revision);
    }

    private String replace(PromotionController.Reason reason) {
        CompletableFuture<String> outcome = workflow.replace(gateway.group(), reason, rejected);
        for (int step = 0; step < 200 && !outcome.isDone(); step++) {
            gateway.advanceMillis(50);
        }
        return outcome.join();
    }

    /** Guards against a primary that is never replaced again after the store was restored from an older copy. */
    @Test
    void primaryIsReplacedUnderTheConditionOfTheNewEra() {
        showEra(1);
        gateway.readPromotion("old@1/0", new StoreRevision(1, 40));
        gateway.readPromotion("a@1/0", new StoreRevision(1, 57));
        members.remove("a");
        promotions.store().showEra(2);
        assertThat(replace(PromotionController.Reason.UNREACHABLE)).contains("have been read");
        assertThat(requests).isEmpty();
        gateway.readPromotion("old@1/0", new StoreRevision(2, 40));
        promotions.eras().recordReading(2);
        replace(PromotionController.Reason.UNREACHABLE);
        assertThat(requests).containsExactly("b");
        assertThat(promotions.store().expectedRevisions()).containsExactly(new StoreRevision(2, 40));
        assertThat(promotions.tokens().get(0)).isGreaterThan(new StoreRevision(1, 1L << 39).fencingToken());
    }

    /** Guards against a promotion in the new era on votes that were given in the former one. */
    @Test
    void votesFromBeforeTheRestoreDoNotCount() {
        showEra(1);
        members.remove("a");
        CompletableFuture<String> outcome =
                workflow.replace(gateway.group(), PromotionController.Reason.UNREACHABLE, rejected);
        showEra(2);
        for (int step = 0; step < 200 && !outcome.isDone(); step++) {
            gateway.advanceMillis(50);
        }
        assertThat(outcome.join()).contains("restored");
        assertThat(requests).isEmpty();
    }

    /** Guards against another member promoted while the order from before the restore may still be carried out. */
    @Test
    void orderUnansweredDuringTheRestoreIsRepeatedFirst() {
        showEra(1);
        promotions.authorityAnswers(PromotionAuthority.Result.NO_ANSWER);
        promotions.duringRequest(() -> promotions.store().showEra(2));
        members.remove("a");
        replace(PromotionController.Reason.UNREACHABLE);
        assertThat(requests).containsExactly("b");
        promotions.duringRequest(() -> {});
        gateway.readPromotion("old@1/0", new StoreRevision(2, 40));
        promotions.eras().recordReading(2);
        members.set("a", true, 1, new LogPosition(1, 9));
        promotions.authorityAnswers(PromotionAuthority.Result.ACCEPTED);
        replace(PromotionController.Reason.ABSENT);
        assertThat(requests).containsExactly("b", "b");
        assertThat(promotions.tokens()).isInStrictOrder();
    }

    /** Guards against daemons that start after the restore and take the copy's promotion for the last one. */
    @Test
    void promotionThatTheStoreLostIsWrittenAgain() {
        showEra(1);
        gateway.readPromotion("a@1/0", new StoreRevision(1, 57));
        LostPromotionWriter writer = new LostPromotionWriter(
                "vm",
                promotions.checkedStore(),
                gateway.recordCodec(),
                gateway.directory(),
                promotions.eras(),
                gateway.clock(),
                gateway.log());
        gateway.listDaemon();
        promotions.store().showEra(2);
        gateway.readPromotion("old@1/0", new StoreRevision(2, 40));
        writer.writeAgain();
        assertThat(promotions.store().expectedRevisions()).isEmpty();
        promotions.eras().recordReading(2);
        writer.writeAgain();
        assertThat(promotions.store().expectedRevisions()).containsExactly(new StoreRevision(2, 40));
        gateway.readPromotion("older@1/0", new StoreRevision(2, 44));
        gateway.advanceMillis(2_000);
        writer.tick();
        assertThat(promotions.store().expectedRevisions()).contains(new StoreRevision(2, 44));
        gateway.readPromotion("a@1/57", new StoreRevision(2, 45));
        gateway.advanceMillis(2_000);
        writer.tick();
        gateway.advanceMillis(2_000);
        writer.tick();
        assertThat(promotions.store().expectedRevisions()).hasSize(2);
    }

    private void showEra(long era) {
        promotions.store().showEra(era);
        promotions.eras().recordReading(era);
    }
}
