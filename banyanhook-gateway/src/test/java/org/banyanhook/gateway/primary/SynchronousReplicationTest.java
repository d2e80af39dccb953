package org.banyanhook.gateway.primary;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.banyanhook.core.replication.LogPosition;
import org.banyanhook.gateway.GatewayFixture;
import org.banyanhook.gateway.port.PromotionAuthority;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Replacements of the primary of a group in which one replica receives a commit before it is acknowledged. Only member
 * b has received the last commits; each test guards against a promotion without them, which would lose them.
 */
final class SynchronousReplicationTest {

    private static final LogPosition BEHIND = new LogPosition(1, 4);
    private static final LogPosition COMPLETE = new LogPosition(1, 9);

    private final PromotionFixture promotions = new PromotionFixture();
    private final GatewayFixture gateway = promotions.gateway();
    private final ScriptedProbe members = promotions.members();
    private final List<String> requests = promotions.requests();
    private final Set<String> rejected = new HashSet<>();
    private PromotionWorkflow workflow = promotions.newWorkflow();

    @BeforeEach
    void listMembers() {
        gateway.configureSynchronousReplicas(1);
        gateway.list("a", true);
        gateway.listIn("west", "b", false);
        gateway.list("c", false);
        members.set("a", true, 1, COMPLETE);
        members.set("b", false, 1, COMPLETE);
        members.set("c", false, 1, BEHIND);
    }

    @AfterEach
    void close() {
        promotions.close();
    }

    /** Review case 6. */
    @Test
    void leavingMemberWithTheOnlyCopyOfACommitIsPromoted() {
        gateway.listLeaving("b", false);
        replaceFailedPrimary();
        assertThat(requests).containsExactly("b");
    }

    @Test
    void memberOfADomainThatWasTakenOutIsPromotedIfOnlyItHasACommit() {
        gateway.takeOut("west");
        replaceFailedPrimary();
        assertThat(requests).containsExactly("b");
    }

    @Test
    void memberThatServesOnIsPreferredIfBothHaveAllCommits() {
        gateway.listLeaving("b", false);
        members.set("c", false, 1, COMPLETE);
        replaceFailedPrimary();
        assertThat(requests).containsExactly("c");
    }

    @Test
    void promotionWaitsForAMemberThatDoesNotAnswer() {
        members.remove("b");
        assertThat(replaceFailedPrimary()).contains("did not report");
        assertThat(requests).isEmpty();
        members.set("b", false, 1, COMPLETE);
        replaceFailedPrimary();
        assertThat(requests).containsExactly("b");
    }

    @Test
    void promotionWaitsForAMemberThatIsNotListedAnyMore() {
        members.remove("b");
        gateway.listGone("b");
        gateway.advanceMillis(10_000);
        gateway.directory().tick();
        assertThat(gateway.group().server("b")).isEmpty();
        assertThat(replaceFailedPrimary()).contains("did not report");
        assertThat(requests).isEmpty();
    }

    @Test
    void memberThatStartedAgainWithoutItsLogDoesNotStandForItsPreviousRun() {
        gateway.listRestarted("b", 2);
        members.set("b", false, 0, LogPosition.START);
        assertThat(replaceFailedPrimary()).contains("did not report");
        assertThat(requests).isEmpty();
    }

    @Test
    void memberThatThePlatformRefusedIsPromotedNevertheless() {
        promotions.authorityAnswers(PromotionAuthority.Result.REJECTED);
        replaceFailedPrimary();
        promotions.authorityAnswers(PromotionAuthority.Result.ACCEPTED);
        replaceFailedPrimary();
        assertThat(requests).containsExactly("b", "b");
    }

    @Test
    void memberOnRecordThatLostItsLogIsNotPromotedBeforeOneThatHasTheCommits() {
        gateway.recordPromotion("c");
        workflow = promotions.newWorkflow();
        assertThat(replaceFailedPrimary()).contains("is pending");
        assertThat(requests).isEmpty();
        gateway.advanceMillis(10_000);
        replaceFailedPrimary();
        assertThat(requests).containsExactly("b");
    }

    @Test
    void primaryDoesNotStepDownWhileNoMemberThatServesOnHasCaughtUp() {
        gateway.listLeaving("b", false);
        assertThat(replace(PromotionController.Reason.LEAVING)).contains("caught up");
        assertThat(members.stepDownTerms()).isEmpty();
        assertThat(requests).isEmpty();
        members.set("c", false, 1, COMPLETE);
        replace(PromotionController.Reason.LEAVING);
        assertThat(requests).containsExactly("c");
    }

    @Test
    void memberThatMissesTheLastCommitOfAPrimaryThatSteppedDownIsNotPromoted() {
        members.beforeStepDown(() -> members.set("a", true, 1, new LogPosition(1, 10)));
        assertThat(replace(PromotionController.Reason.LEAVING)).contains("caught up");
        assertThat(members.stepDownTerms()).hasSize(1);
        assertThat(requests).isEmpty();
    }

    /** Guards against a group that stays without a primary, although the remaining replica has all commits. */
    @Test
    void departedMemberIsNotMissedOnceAnotherHasCaughtUp() {
        members.remove("b");
        PromotionController controller = departB();
        assertThat(gateway.group().commitHolders().hasDepartures()).isTrue();
        members.set("c", false, 1, COMPLETE);
        gateway.advanceMillis(1_000);
        controller.tick();
        assertThat(gateway.group().commitHolders().hasDepartures()).isFalse();
        replaceFailedPrimary();
        assertThat(requests).containsExactly("c");
    }

    /**
     * Review case 13: a replica that only the platform does not reach still receives commits, and may be the only one.
     */
    @Test
    void replicaThatIsNotListedAnyMoreButAliveIsMissed() {
        PromotionController controller = departB();
        members.set("c", false, 1, COMPLETE);
        gateway.advanceMillis(1_000);
        controller.tick();
        members.set("b", false, 1, new LogPosition(1, 12));
        assertThat(replaceFailedPrimary()).contains("not listed");
        assertThat(requests).isEmpty();
        gateway.listIn("west", "b", false);
        replaceFailedPrimary();
        assertThat(requests).containsExactly("b");
    }

    /** Guards against a group without a primary as long as a replica is not listed that no commit depends on. */
    @Test
    void replicaThatIsNotListedAnyMoreIsNotMissedIfAnotherHasItsLog() {
        departB();
        members.set("c", false, 1, COMPLETE);
        replaceFailedPrimary();
        assertThat(requests).containsExactly("c");
    }

    private PromotionController departB() {
        PromotionController controller = promotions.newController();
        gateway.listDaemon();
        gateway.listGone("b");
        gateway.advanceMillis(10_000);
        gateway.directory().tick();
        controller.tick();
        return controller;
    }

    private String replaceFailedPrimary() {
        members.remove("a");
        return replace(PromotionController.Reason.UNREACHABLE);
    }

    private String replace(PromotionController.Reason reason) {
        CompletableFuture<String> outcome = workflow.replace(gateway.group(), reason, rejected);
        for (int step = 0; step < 200 && !outcome.isDone(); step++) {
            gateway.advanceMillis(50);
        }
        return outcome.join();
    }
}
