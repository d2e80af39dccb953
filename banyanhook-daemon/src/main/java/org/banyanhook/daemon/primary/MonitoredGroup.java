package org.banyanhook.daemon.primary;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.banyanhook.core.primary.KnownPrimary;
import org.banyanhook.core.primary.MemberStatus;
import org.banyanhook.core.primary.PrimaryFailureDetector;
import org.banyanhook.core.primary.PromotionDecision;
import org.banyanhook.daemon.membership.EntryVm;
import org.banyanhook.protocol.generated.PrimaryEvidence;
import org.jspecify.annotations.Nullable;

/**
 * Combines the monitor, the probe schedule and the promotions of one database group.
 *
 * <p>Confined to the controller's thread.
 */
final class MonitoredGroup {

    /** Number of highest-ranked proposer candidates that probe a group at regular intervals. */
    static final int PROBING_RANK_COUNT = 3;

    private static final Logger LOGGER = LogManager.getLogger(MonitoredGroup.class);
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration RECENT_REPLICA_READ_WINDOW = Duration.ofSeconds(5);
    private static final Duration MINIMUM_REPLICA_PROBE_INTERVAL = Duration.ofMillis(100);
    private static final Duration MAXIMUM_REPLICA_PROBE_INTERVAL = Duration.ofSeconds(1);
    private static final long REPLICA_PROBES_PER_MAXIMUM_AGE = 4;
    private static final Duration FIRST_RANK_PRIMARY_INTERVAL = Duration.ofMillis(1500);
    private static final Duration FIRST_RANK_OTHER_INTERVAL = Duration.ofSeconds(8);
    private static final Duration LOWER_RANK_PRIMARY_INTERVAL = Duration.ofSeconds(5);
    private static final Duration LOWER_RANK_OTHER_INTERVAL = Duration.ofSeconds(20);
    private static final long EVIDENCE_REQUEST_INTERVAL_NANOS =
            Duration.ofMillis(700).toNanos();

    private final ControllerContext context;
    private final GroupMonitor monitor;
    private final PromotionCoordinator coordinator;
    private final PrimaryFailureDetector failureDetector;
    private final EvidenceExchange evidenceExchange;

    private int evidenceRequestCount;
    private long lastEvidenceRequestNanos;

    MonitoredGroup(
            ControllerContext context,
            GroupMonitor monitor,
            PromotionCoordinator coordinator,
            EvidenceExchange evidenceExchange) {
        this.context = context;
        this.monitor = monitor;
        this.coordinator = coordinator;
        this.failureDetector = coordinator.failureDetector();
        this.evidenceExchange = evidenceExchange;
        monitor.onRead(this::onRead);
    }

    String name() {
        return monitor.database().name();
    }

    GroupMonitor monitor() {
        return monitor;
    }

    private void onRead(String member, long startedNanos, @Nullable MemberStatus status) {
        failureDetector.onView(monitor.view(), context.nowNanos());
        failureDetector.onOutcome(member, status != null, startedNanos);
    }

    void onRequestFailed(MonitoringPlan plan, String member) {
        boolean suspectedBefore = failureDetector.isSuspected();
        failureDetector.onOutcome(member, false, context.nowNanos());
        if (failureDetector.isSuspected() && !suspectedBefore) {
            List<EntryVm> candidates = plan.candidatePeers(name()).stream()
                    .limit(PROBING_RANK_COUNT)
                    .toList();
            monitor.view()
                    .primary()
                    .ifPresent(primary -> evidenceExchange.reportFailedRequest(name(), primary.term(), candidates));
        }
    }

    void onPeerEvidence(String peer, String peerFailureDomain, PrimaryEvidence peerEvidence) {
        boolean unreachable = peerEvidence.getPrimaryUnreachable();
        failureDetector.onPeerEvidence(
                peer, peerFailureDomain, peerEvidence.getTerm(), unreachable, context.nowNanos());
        if (unreachable) {
            monitor.primary().ifPresent(primary -> monitor.read(primary.member()));
        }
    }

    boolean isIdle(MonitoringPlan plan, @Nullable DatabaseUsage usage, long now) {
        boolean probed = plan.ranks().getOrDefault(name(), PROBING_RANK_COUNT) < PROBING_RANK_COUNT;
        boolean used = usage != null && usage.isUsed(now, IDLE_TIMEOUT);
        return !probed && !used && !monitor.hasPendingConfirmations() && !coordinator.isProposing();
    }

    void tick(MonitoringPlan plan, @Nullable DatabaseUsage usage, long now) {
        Integer rank = plan.ranks().get(name());
        probe(rank, usage, now);
        monitor.tick(now);
        if (rank == null) {
            return;
        }
        PromotionDecision decision = coordinator.tick(plan.proposerContext(rank), plan.takenOutFailureDomains());
        boolean due = evidenceRequestCount == 0 || now - lastEvidenceRequestNanos >= EVIDENCE_REQUEST_INTERVAL_NANOS;
        if (decision.kind() == PromotionDecision.Kind.INVESTIGATE && due) {
            requestEvidence(plan, decision.reason(), now);
        }
    }

    private void probe(@Nullable Integer rank, @Nullable DatabaseUsage usage, long now) {
        if (usage != null && usage.hasReplicaReads(now, RECENT_REPLICA_READ_WINDOW)) {
            Duration interval = replicaProbeInterval(usage.lowestMaximumAgeMillis());
            monitor.readIfDue(interval, interval);
        }
        if (rank == null || rank >= PROBING_RANK_COUNT) {
            return;
        }
        if (rank == 0) {
            monitor.readIfDue(FIRST_RANK_PRIMARY_INTERVAL, FIRST_RANK_OTHER_INTERVAL);
        } else {
            monitor.readIfDue(LOWER_RANK_PRIMARY_INTERVAL, LOWER_RANK_OTHER_INTERVAL);
        }
    }

    private void requestEvidence(MonitoringPlan plan, String reason, long now) {
        Optional<KnownPrimary> primary = monitor.view().primary();
        if (primary.isEmpty() || !failureDetector.isSuspected()) {
            return;
        }
        List<EntryVm> peers = EvidenceExchange.selectPeers(plan.peers(), evidenceRequestCount);
        evidenceRequestCount++;
        lastEvidenceRequestNanos = now;
        LOGGER.info(
                "database {}: asking {} peers whether they reach {}; reason: {}",
                name(),
                peers.size(),
                primary.get().member(),
                reason);
        evidenceExchange.requestEvidence(
                name(),
                primary.get().term(),
                peers,
                (peer, answer) -> failureDetector.onPeerEvidence(
                        peer.name(),
                        peer.failureDomain(),
                        answer.getTerm(),
                        answer.getPrimaryUnreachable(),
                        context.nowNanos()));
    }

    private static Duration replicaProbeInterval(long maximumAgeMillis) {
        Duration interval = Duration.ofMillis(maximumAgeMillis / REPLICA_PROBES_PER_MAXIMUM_AGE);
        if (interval.compareTo(MINIMUM_REPLICA_PROBE_INTERVAL) < 0) {
            return MINIMUM_REPLICA_PROBE_INTERVAL;
        }
        return interval.compareTo(MAXIMUM_REPLICA_PROBE_INTERVAL) > 0 ? MAXIMUM_REPLICA_PROBE_INTERVAL : interval;
    }
}
