package org.banyanhook.gateway.primary;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.banyanhook.core.replication.LogPosition;
import org.banyanhook.daemon.peer.PeerMessageHandler;
import org.banyanhook.daemon.peer.PeerMessenger;
import org.banyanhook.gateway.GatewayFixture;
import org.banyanhook.gateway.backend.MemberProbe;
import org.banyanhook.gateway.backend.MemberServer;
import org.banyanhook.gateway.fleet.ScriptedRecordStore;
import org.banyanhook.gateway.message.MemberCommand;
import org.banyanhook.gateway.message.MemberReport;
import org.banyanhook.gateway.port.PromotionAuthority;
import org.banyanhook.protocol.generated.PeerEnvelope;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Replacements of primaries by the only daemon of a fleet. */
final class PromotionWorkflowTest {

    private final GatewayFixture gateway = new GatewayFixture();
    private final ScriptedRecordStore store = new ScriptedRecordStore();
    private final FakeMembers members = new FakeMembers();
    private final List<String> requests = new ArrayList<>();
    private final Set<String> rejected = new HashSet<>();
    private PromotionAuthority.Result authorityResult = PromotionAuthority.Result.ACCEPTED;
    private PromotionWorkflow workflow = newWorkflow();

    private PromotionWorkflow newWorkflow() {
        PeerVoteExchange voteExchange =
                new PeerVoteExchange("vm", new NoPeers(), gateway.directory(), gateway.eventLoop(), gateway.clock());
        PromotionVoter voter = new PromotionVoter(
                gateway.groups(), gateway.directory(), members, gateway::nowNanos, () -> true, gateway.clock());
        PromotionLeases leases = new PromotionLeases(
                "vm", store, gateway.recordCodec(), gateway.directory(), gateway.clock(), gateway.log());
        return new PromotionWorkflow(
                "vm",
                store,
                gateway.recordCodec(),
                gateway.directory(),
                leases,
                voteExchange,
                voter,
                members,
                this::promote,
                gateway.eventLoop(),
                gateway.clock(),
                gateway.log());
    }

    @BeforeEach
    void listMembers() {
        store.answerAtOnce();
        gateway.list("a", true);
        gateway.list("b", false);
        gateway.list("c", false);
        members.set("a", true, 1, new LogPosition(1, 9));
        members.set("b", false, 1, new LogPosition(1, 8));
        members.set("c", false, 1, new LogPosition(1, 7));
    }

    @AfterEach
    void close() {
        gateway.close();
    }

    /** The primary leads term 2 but has not committed since, so its log and all answers end in term 1. */
    @Test
    void primaryWithoutCommitsSinceItsPromotionStepsDownBeforeItIsReplaced() {
        members.set("a", true, 2, new LogPosition(1, 9));
        members.set("b", false, 2, new LogPosition(1, 9));
        replace(PromotionController.Reason.LEAVING);
        assertThat(members.stepDownTerms).containsExactly(3L);
        assertThat(members.report("a").primary()).isFalse();
        assertThat(requests).containsExactly("b");
    }

    @Test
    void primaryThatDoesNotStepDownIsNotReplaced() {
        members.obstinate = true;
        String outcome = replace(PromotionController.Reason.LEAVING);
        assertThat(outcome).contains("did not step down");
        assertThat(requests).isEmpty();
    }

    @Test
    void primaryThatWasPromotedMeanwhileIsToldAgainWithAHigherTerm() {
        members.beforeStepDown = () -> members.set("a", true, 5, new LogPosition(1, 9));
        replace(PromotionController.Reason.LEAVING);
        assertThat(members.stepDownTerms).containsExactly(2L, 6L).inOrder();
        assertThat(requests).containsExactly("b");
    }

    @Test
    void primaryThatHasSteppedDownAlreadyIsNotToldAgain() {
        members.set("a", false, 1, new LogPosition(1, 9));
        replace(PromotionController.Reason.LEAVING);
        assertThat(members.stepDownTerms).isEmpty();
        assertThat(requests).containsExactly("b");
    }

    /** The old primary, which has the longest log, is back before the platform can be reached again. */
    @Test
    void requestWithoutAnAnswerIsRepeatedBeforeAnotherMemberIsPromoted() {
        authorityResult = PromotionAuthority.Result.NO_ANSWER;
        members.remove("a");
        replace(PromotionController.Reason.UNREACHABLE);
        assertThat(Set.copyOf(requests)).containsExactly("b");
        members.set("a", true, 1, new LogPosition(1, 9));
        requests.clear();
        replace(PromotionController.Reason.ABSENT);
        assertThat(Set.copyOf(requests)).containsExactly("b");
        authorityResult = PromotionAuthority.Result.REJECTED;
        replace(PromotionController.Reason.ABSENT);
        requests.clear();
        authorityResult = PromotionAuthority.Result.ACCEPTED;
        replace(PromotionController.Reason.ABSENT);
        assertThat(requests).containsExactly("a");
    }

    @Test
    void requestThatThePlatformRefusedLeavesTheChoiceFree() {
        authorityResult = PromotionAuthority.Result.REFUSED;
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
        workflow = newWorkflow();
        replace(PromotionController.Reason.ABSENT);
        assertThat(requests).containsExactly("c");
    }

    /** A record that was written although its answer was lost must not replace a later one. */
    @Test
    void promotionIsRecordedOnlyIfItsRecordHasNotChanged() {
        gateway.recordPromotion("a");
        long revision = gateway.directory().promotionRevision(GatewayFixture.GROUP);
        members.remove("a");
        replace(PromotionController.Reason.UNREACHABLE);
        assertThat(store.expectedRevisions()).containsExactly(revision);
    }

    private String replace(PromotionController.Reason reason) {
        CompletableFuture<String> outcome = workflow.replace(gateway.group(), reason, rejected);
        for (int step = 0; step < 200 && !outcome.isDone(); step++) {
            gateway.advanceMillis(50);
        }
        return outcome.join();
    }

    private CompletableFuture<PromotionAuthority.Result> promote(
            String group, String member, String leaseHolder, long fencingToken) {
        requests.add(member);
        return CompletableFuture.completedFuture(authorityResult);
    }

    /** Answers commands as members would. */
    private static final class FakeMembers implements MemberProbe {
        private final Map<String, MemberReport> reports = new HashMap<>();
        private final List<Long> stepDownTerms = new ArrayList<>();
        private boolean obstinate;
        private Runnable beforeStepDown = () -> {};

        private void set(String member, boolean primary, long term, LogPosition position) {
            reports.put(member, new MemberReport(primary, term, position));
        }

        private void remove(String member) {
            reports.remove(member);
        }

        private MemberReport report(String member) {
            return Optional.ofNullable(reports.get(member)).orElseThrow();
        }

        @Override
        public CompletableFuture<Optional<MemberReport>> send(MemberServer server, MemberCommand command) {
            if (command instanceof MemberCommand.StepDown stepDown && reports.containsKey(server.name())) {
                stepDownTerms.add(stepDown.term());
                beforeStepDown.run();
                beforeStepDown = () -> {};
                MemberReport before = report(server.name());
                if (!obstinate && stepDown.term() > before.term()) {
                    set(server.name(), false, before.term(), before.position());
                }
            }
            return CompletableFuture.completedFuture(Optional.ofNullable(reports.get(server.name())));
        }
    }

    /** A fleet of one daemon. */
    private static final class NoPeers implements PeerMessenger {

        @Override
        public CompletableFuture<PeerEnvelope> request(String address, PeerEnvelope body, Duration timeout) {
            return CompletableFuture.failedFuture(new IllegalStateException("there are no other daemons"));
        }

        @Override
        public void send(String address, PeerEnvelope body) {
            throw new UnsupportedOperationException("an exchange sends requests only");
        }

        @Override
        public void registerHandler(PeerEnvelope.BodyCase bodyCase, PeerMessageHandler handler) {
            // Nobody sends requests.
        }
    }
}
