package org.banyanhook.daemon.primary;

import static com.google.common.truth.Truth.assertThat;
import static java.util.Objects.requireNonNull;
import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.stream.IntStream;
import org.banyanhook.core.configuration.BackendServer;
import org.banyanhook.core.configuration.Database;
import org.banyanhook.core.configuration.FailureDomain;
import org.banyanhook.core.configuration.FleetConfiguration;
import org.banyanhook.core.configuration.Service;
import org.banyanhook.core.error.Execution;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;
import org.banyanhook.core.primary.MemberRole;
import org.banyanhook.core.replication.LogPosition;
import org.banyanhook.daemon.membership.EntryVm;
import org.banyanhook.daemon.peer.PeerException;
import org.banyanhook.daemon.peer.PeerMessageHandler;
import org.banyanhook.daemon.peer.PeerMessenger;
import org.banyanhook.daemon.platform.PlatformClient;
import org.banyanhook.daemon.platform.PlatformException;
import org.banyanhook.daemon.platform.StoredValue;
import org.banyanhook.daemon.platform.VirtualMachine;
import org.banyanhook.protocol.generated.PeerEnvelope;
import org.banyanhook.protocol.generated.PrimaryEvidence;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Runs the controller on a database group in memory, with one peer and an unavailable platform. */
final class PrimaryControllerTest {

    private static final String DATABASE = "orders";
    private static final Duration PROMOTION_TIMEOUT = Duration.ofSeconds(19);
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private final FakeGroupControl group = new FakeGroupControl(3);
    private final List<EntryVm> liveEntryVms =
            List.of(new EntryVm("e0", "d0", "127.0.0.1:1", false), new EntryVm("e1", "d1", "127.0.0.1:2", false));
    private volatile FleetConfiguration configuration = configuration(Set.of());
    private volatile boolean primaryUnreachableFromPeer = true;
    private final PrimaryController controller = PrimaryController.builder()
            .entryVm("e0")
            .failureDomain("d0")
            .configuration(() -> configuration)
            .membership(() -> liveEntryVms)
            .messenger(new FakeMessenger())
            .platform(new UnavailablePlatform())
            .control(group)
            .random(() -> 0.5)
            .build();

    @AfterEach
    void close() {
        controller.close();
    }

    @Test
    void promotesInAGroupWithoutPrimaryWhileThePlatformIsUnavailable() {
        controller.start();
        await().atMost(PROMOTION_TIMEOUT)
                .until(() -> controller.primary(DATABASE).isPresent());
        PrimaryView view = controller.primary(DATABASE).orElseThrow();
        assertThat(group.get(view.primaryMember()).role()).isEqualTo(MemberRole.PRIMARY);
    }

    @Test
    void confirmsOnceAMajorityHoldsThePosition() {
        group.establishPrimary("m0", 3, 10);
        controller.start();
        group.advance("m0", 11);
        CompletableFuture<Void> confirmed = controller.confirm(DATABASE, new LogPosition(3, 11), TIMEOUT);
        await().atMost(TIMEOUT).until(() -> controller.primary(DATABASE).isPresent());
        assertThat(confirmed.isDone()).isFalse();
        assertThat(controller.isDurable(DATABASE, new LogPosition(3, 11))).isFalse();
        group.advance("m2", 11);
        confirmed.join();
        assertThat(controller.isDurable(DATABASE, new LogPosition(3, 11))).isTrue();
    }

    @Test
    void sharesReadsAmongWaitingCommits() {
        group.establishPrimary("m0", 3, 10);
        controller.start();
        List<CompletableFuture<Void>> waits = new ArrayList<>();
        for (int commit = 0; commit < 1000; commit++) {
            waits.add(controller.confirm(DATABASE, new LogPosition(3, 10), TIMEOUT));
        }
        CompletableFuture.allOf(waits.toArray(new CompletableFuture<?>[0])).join();
        assertThat(group.statusReads()).isLessThan(3000);
    }

    @Test
    void refusesAPositionOfASupersededTerm() {
        group.establishPrimary("m1", 4, 12);
        controller.start();
        RefusalException refusal = refusal(controller.confirm(DATABASE, new LogPosition(3, 11), TIMEOUT));
        assertThat(refusal.kind()).isEqualTo(RefusalKind.PRIMARY_CHANGED);
        assertThat(refusal.execution()).isEqualTo(Execution.UNKNOWN);
    }

    @Test
    void leavesTheOutcomeUnknownWhenTheMajorityIsNotReachedInTime() {
        group.establishPrimary("m0", 3, 10);
        group.makeUnreachable("m1");
        group.makeUnreachable("m2");
        controller.start();
        RefusalException refusal =
                refusal(controller.confirm(DATABASE, new LogPosition(3, 10), Duration.ofMillis(200)));
        assertThat(refusal.kind()).isEqualTo(RefusalKind.OUTCOME_UNKNOWN);
        assertThat(refusal.execution()).isEqualTo(Execution.UNKNOWN);
    }

    @Test
    void promotesAnotherMemberAndMakesTheFormerPrimaryFollow() {
        group.establishPrimary("m0", 3, 10);
        controller.start();
        await().atMost(TIMEOUT).until(() -> controller.primary(DATABASE).isPresent());
        group.makeUnreachable("m0");
        await().atMost(PROMOTION_TIMEOUT).until(() -> hasOtherPrimaryThan("m0"));
        group.makeReachable("m0");
        await().atMost(PROMOTION_TIMEOUT).until(() -> group.get("m0").role() == MemberRole.REPLICA);
        assertThat(group.get("m0").term())
                .isEqualTo(controller.primary(DATABASE).orElseThrow().term());
    }

    @Test
    void promotesNothingWhileThePeerReachesThePrimary() {
        primaryUnreachableFromPeer = false;
        group.establishPrimary("m0", 3, 10);
        controller.start();
        await().atMost(TIMEOUT).until(() -> controller.primary(DATABASE).isPresent());
        group.makeUnreachable("m0");
        await().during(Duration.ofSeconds(5))
                .atMost(Duration.ofSeconds(8))
                .until(() -> group.get("m1").term() == 3);
    }

    @Test
    void replacesAPrimaryInAFailureDomainThatIsTakenOut() {
        group.establishPrimary("m0", 3, 10);
        controller.start();
        await().atMost(TIMEOUT).until(() -> controller.primary(DATABASE).isPresent());
        configuration = configuration(Set.of("d0"));
        await().atMost(PROMOTION_TIMEOUT).until(() -> hasOtherPrimaryThan("m0"));
    }

    @Test
    void selectsAReplicaWithinTheMaximumAge() {
        group.establishPrimary("m0", 3, 10);
        controller.start();
        LogPosition session = new LogPosition(3, 10);
        await().atMost(TIMEOUT)
                .until(() -> controller.selectReplica(DATABASE, session, 2000).isPresent());
        assertThat(controller.ageBoundMillis(DATABASE, session)).isLessThan(2000L);
        assertThat(controller.selectReplica(DATABASE, new LogPosition(3, 11), 2000))
                .isEqualTo(Optional.empty());
    }

    private boolean hasOtherPrimaryThan(String member) {
        return controller
                .primary(DATABASE)
                .filter(view -> !view.primaryMember().equals(member))
                .isPresent();
    }

    private static RefusalException refusal(CompletableFuture<Void> future) {
        CompletionException failure = assertThrows(CompletionException.class, future::join);
        return (RefusalException) requireNonNull(failure.getCause());
    }

    private static FleetConfiguration configuration(Set<String> takenOut) {
        List<BackendServer> servers = IntStream.range(0, 3)
                .mapToObj(index -> new BackendServer("m" + index, "d" + index, "127.0.0.1:" + (9000 + index), false))
                .toList();
        List<FailureDomain> domains = IntStream.range(0, 3)
                .mapToObj(index -> new FailureDomain("d" + index, "r", 0.3, takenOut.contains("d" + index)))
                .toList();
        Service service = new Service("shop", List.of(new Database(DATABASE, servers, 16, 2)), List.of());
        return new FleetConfiguration(
                1 + takenOut.size(), domains, List.of(), List.of(service), Set.of(), List.of(), List.of());
    }

    private final class FakeMessenger implements PeerMessenger {
        @Override
        public CompletableFuture<PeerEnvelope> request(String peerAddress, PeerEnvelope body, Duration timeout) {
            if (!body.hasPrimaryEvidenceRequest()) {
                return CompletableFuture.failedFuture(new PeerException("unexpected message", false));
            }
            return CompletableFuture.completedFuture(PeerEnvelope.newBuilder()
                    .setPrimaryEvidence(PrimaryEvidence.newBuilder()
                            .setDatabase(DATABASE)
                            .setTerm(body.getPrimaryEvidenceRequest().getTerm())
                            .setPrimaryUnreachable(primaryUnreachableFromPeer))
                    .build());
        }

        @Override
        public void send(String peerAddress, PeerEnvelope body) {}

        @Override
        public void registerHandler(PeerEnvelope.BodyCase kind, PeerMessageHandler handler) {}
    }

    private static final class UnavailablePlatform implements PlatformClient {
        @Override
        public CompletableFuture<Optional<StoredValue>> read(String key) {
            return unavailable();
        }

        @Override
        public CompletableFuture<Long> compareAndSwap(String key, String value, long expectedRevision) {
            return unavailable();
        }

        @Override
        public CompletableFuture<Optional<StoredValue>> watch(String key, long afterRevision, Duration wait) {
            return unavailable();
        }

        @Override
        public CompletableFuture<List<VirtualMachine>> virtualMachines() {
            return unavailable();
        }

        private static <T> CompletableFuture<T> unavailable() {
            return CompletableFuture.failedFuture(
                    new PlatformException(PlatformException.Kind.UNAVAILABLE, "the platform is unavailable"));
        }
    }
}
