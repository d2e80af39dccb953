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
 * One database group with its monitor, its promotions, and how often it is probed. Used on the controller's thread
 * only.
 */
final class WatchedGroup {

    /** How many of the first candidates probe regularly. */
    static final int PROBING_RANKS = 3;

    private static final Logger LOGGER = LogManager.getLogger(WatchedGroup.class);
    private static final Duration USE_WINDOW = Duration.ofSeconds(30);
    private static final Duration REPLICA_READ_WINDOW = Duration.ofSeconds(5);
    private static final Duration MINIMUM_REPLICA_PROBE_INTERVAL = Duration.ofMillis(100);
    private static final Duration MAXIMUM_REPLICA_PROBE_INTERVAL = Duration.ofSeconds(1);
    private static final long REPLICA_PROBES_PER_AGE = 4;
    private static final Duration FIRST_RANK_PRIMARY_INTERVAL = Duration.ofMillis(1500);
    private static final Duration FIRST_RANK_OTHER_INTERVAL = Duration.ofSeconds(8);
    private static final Duration LOWER_RANK_PRIMARY_INTERVAL = Duration.ofSeconds(5);
    private static final Duration LOWER_RANK_OTHER_INTERVAL = Duration.ofSeconds(20);
    private static final long EVIDENCE_INTERVAL_NANOS = Duration.ofMillis(700).toNanos();

    private final ControllerContext context;
    private final GroupMonitor monitor;
    private final PromotionDriver driver;
    private final PrimaryFailureDetector suspicion;
    private final EvidenceExchange evidence;

    private int evidenceAttempts;
    private long lastEvidenceNanos;

    WatchedGroup(ControllerContext context, GroupMonitor monitor, PromotionDriver driver, EvidenceExchange evidence) {
        this.context = context;
        this.monitor = monitor;
        this.driver = driver;
        this.suspicion = driver.suspicion();
        this.evidence = evidence;
        monitor.onRead(this::onRead);
    }

    String name() {
        return monitor.database().name();
    }

    GroupMonitor monitor() {
        return monitor;
    }

    private void onRead(String member, long beganNanos, @Nullable MemberStatus status) {
        suspicion.onView(monitor.view(), context.now());
        suspicion.onOutcome(member, status != null, beganNanos);
    }

    void onRequestFailed(WatchPlan plan, String member) {
        boolean doubtfulBefore = suspicion.isSuspected();
        suspicion.onOutcome(member, false, context.now());
        if (suspicion.isSuspected() && !doubtfulBefore) {
            List<EntryVm> candidates =
                    plan.candidatePeers(name()).stream().limit(PROBING_RANKS).toList();
            monitor.view().primary().ifPresent(primary -> evidence.notify(name(), primary.term(), candidates));
        }
    }

    void onPeerEvidence(String peer, String peerFailureDomain, PrimaryEvidence statement) {
        boolean unreachable = statement.getPrimaryUnreachable();
        suspicion.onPeerEvidence(peer, peerFailureDomain, statement.getTerm(), unreachable, context.now());
        if (unreachable) {
            monitor.primary().ifPresent(primary -> monitor.read(primary.member()));
        }
    }

    boolean isIdle(WatchPlan plan, @Nullable DatabaseInterest interest, long now) {
        boolean watched = plan.ranks().getOrDefault(name(), PROBING_RANKS) < PROBING_RANKS;
        boolean used = interest != null && interest.isUsed(now, USE_WINDOW);
        return !watched && !used && !monitor.isBusy() && !driver.isProposing();
    }

    void tick(WatchPlan plan, @Nullable DatabaseInterest interest, long now) {
        Integer rank = plan.ranks().get(name());
        probe(rank, interest, now);
        monitor.tick(now);
        if (rank == null) {
            return;
        }
        PromotionDecision decision = driver.tick(plan.position(rank), plan.takenOutFailureDomains());
        boolean due = evidenceAttempts == 0 || now - lastEvidenceNanos >= EVIDENCE_INTERVAL_NANOS;
        if (decision.kind() == PromotionDecision.Kind.INVESTIGATE && due) {
            askPeers(plan, decision.reason(), now);
        }
    }

    private void probe(@Nullable Integer rank, @Nullable DatabaseInterest interest, long now) {
        if (interest != null && interest.hasReplicaReads(now, REPLICA_READ_WINDOW)) {
            Duration interval = replicaProbeInterval(interest.maximumAgeMillis());
            monitor.readStale(interval, interval);
        }
        if (rank == null || rank >= PROBING_RANKS) {
            return;
        }
        if (rank == 0) {
            monitor.readStale(FIRST_RANK_PRIMARY_INTERVAL, FIRST_RANK_OTHER_INTERVAL);
        } else {
            monitor.readStale(LOWER_RANK_PRIMARY_INTERVAL, LOWER_RANK_OTHER_INTERVAL);
        }
    }

    private void askPeers(WatchPlan plan, String reason, long now) {
        Optional<KnownPrimary> primary = monitor.view().primary();
        if (primary.isEmpty() || !suspicion.isSuspected()) {
            return;
        }
        List<EntryVm> peers = EvidenceExchange.choosePeers(plan.peers(), evidenceAttempts);
        evidenceAttempts++;
        lastEvidenceNanos = now;
        LOGGER.info(
                "database {}: asking {} peers whether they reach {}; reason: {}",
                name(),
                peers.size(),
                primary.get().member(),
                reason);
        evidence.ask(
                name(),
                primary.get().term(),
                peers,
                (peer, answer) -> suspicion.onPeerEvidence(
                        peer.name(),
                        peer.failureDomain(),
                        answer.getTerm(),
                        answer.getPrimaryUnreachable(),
                        context.now()));
    }

    private static Duration replicaProbeInterval(long maximumAgeMillis) {
        Duration wanted = Duration.ofMillis(maximumAgeMillis / REPLICA_PROBES_PER_AGE);
        if (wanted.compareTo(MINIMUM_REPLICA_PROBE_INTERVAL) < 0) {
            return MINIMUM_REPLICA_PROBE_INTERVAL;
        }
        return wanted.compareTo(MAXIMUM_REPLICA_PROBE_INTERVAL) > 0 ? MAXIMUM_REPLICA_PROBE_INTERVAL : wanted;
    }
}
