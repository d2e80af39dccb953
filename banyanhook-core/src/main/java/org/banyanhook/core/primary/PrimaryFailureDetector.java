package org.banyanhook.core.primary;

import java.time.Duration;
import java.util.Optional;

/**
 * Decides whether one database group needs a new primary, based on probes, request outcomes and reports of peers.
 *
 * <p>It affects availability only: a wrong decision costs a change of primary, but never loses a write. Not
 * thread-safe.
 */
public final class PrimaryFailureDetector {

    // In a row, since a single failed probe or request does not show that the primary failed.
    private static final int MINIMUM_FAILURES = 3;
    // Longer than the timeout of a probe, at most 800 ms; an answer in this time clears the failures.
    private static final long MINIMUM_UNREACHABLE_NANOS =
            Duration.ofMillis(1000).toNanos();
    // Members with older reads do not count towards the majority that must answer.
    private static final long MAXIMUM_READ_AGE_NANOS = Duration.ofMillis(2500).toNanos();
    // Added per rank, so that only one proposer acts at a time.
    private static final long RANK_DELAY_NANOS = Duration.ofMillis(1500).toNanos();
    private static final long NO_PRIMARY_DELAY_NANOS = Duration.ofMillis(600).toNanos();
    // After this delay, a member left behind in a term that got no primary gets a new term.
    private static final long LATER_TERM_DELAY_NANOS = Duration.ofSeconds(4).toNanos();
    // Applies if no other entry VM is alive: a proxy that is cut off alone should not promote.
    private static final long NO_PEERS_DELAY_NANOS = Duration.ofSeconds(8).toNanos();
    // Replicas that advanced within this time show a working primary.
    private static final long PROGRESS_WINDOW_NANOS = Duration.ofSeconds(3).toNanos();

    private final FailureEvidence evidence = new FailureEvidence();

    private Optional<KnownPrimary> monitoredPrimary = Optional.empty();
    private int failures;
    private long firstFailureNanos;
    private long highestReplicaPosition;
    private long lastProgressNanos;
    private boolean replicationProgressed;
    private Condition condition = Condition.HEALTHY;
    private long conditionSinceNanos;

    private enum Condition {
        HEALTHY,
        PRIMARY_UNREACHABLE,
        NO_PRIMARY,
        MEMBER_IN_LATER_TERM
    }

    /**
     * Records whether a member answered a probe or a request.
     *
     * @param member the name of the backend server
     * @param reachable true if it answered
     * @param nowNanos the reading of the monotonic clock
     */
    public void onOutcome(String member, boolean reachable, long nowNanos) {
        if (monitoredPrimary.filter(primary -> primary.member().equals(member)).isEmpty()) {
            return;
        }
        if (reachable) {
            failures = 0;
            return;
        }
        if (failures == 0) {
            firstFailureNanos = nowNanos;
        }
        failures++;
    }

    /**
     * Records the report of a peer about the primary.
     *
     * @param peer the name of the entry VM
     * @param failureDomain the failure domain in which it runs
     * @param term the term of the primary that the report refers to
     * @param unreachable true if the peer does not reach the primary
     * @param nowNanos the reading of the monotonic clock
     */
    public void onPeerEvidence(String peer, String failureDomain, long term, boolean unreachable, long nowNanos) {
        if (monitoredPrimary.filter(primary -> primary.term() == term).isPresent()) {
            evidence.record(peer, failureDomain, unreachable, nowNanos);
        }
    }

    /** Returns whether the last probe of the primary, or request to it, failed. */
    public boolean isSuspected() {
        return failures > 0;
    }

    /**
     * Returns the time for which the primary has not answered.
     *
     * @param nowNanos the reading of the monotonic clock
     * @return the time in nanoseconds, 0 if the primary answers
     */
    public long unreachableNanos(long nowNanos) {
        return failures == 0 ? 0 : Math.max(0, nowNanos - firstFailureNanos);
    }

    /**
     * Decides whether the group needs a new primary.
     *
     * @param view the group
     * @param proposer the rank and location of this proposer
     * @param nowNanos the reading of the monotonic clock
     * @return the decision and its reason
     */
    public PromotionDecision decide(GroupView view, ProposerContext proposer, long nowNanos) {
        onView(view, nowNanos);
        Condition currentCondition = condition(view);
        if (currentCondition != condition) {
            condition = currentCondition;
            conditionSinceNanos = nowNanos;
        }
        if (currentCondition == Condition.HEALTHY) {
            return PromotionDecision.none("the primary answers");
        }
        int answering = recentlyReadMembers(view, nowNanos);
        if (answering < view.database().majoritySize()) {
            return PromotionDecision.investigate(
                    "only " + answering + " of " + view.database().members().size() + " members answer");
        }
        long rankDelay = proposer.rank() * RANK_DELAY_NANOS;
        return switch (currentCondition) {
            case NO_PRIMARY ->
                proposeAfter(NO_PRIMARY_DELAY_NANOS + rankDelay, nowNanos, "no member reports a primary");
            case MEMBER_IN_LATER_TERM ->
                proposeAfter(
                        LATER_TERM_DELAY_NANOS + rankDelay,
                        nowNanos,
                        "a member accepted a later term without a primary and cannot follow");
            default -> decideUnreachable(proposer, rankDelay, nowNanos);
        };
    }

    /**
     * Records the state of the group. A change of primary resets the recorded failures and reports.
     *
     * @param view the group
     * @param nowNanos the reading of the monotonic clock
     */
    public void onView(GroupView view, long nowNanos) {
        Optional<KnownPrimary> current = view.primary();
        if (!current.equals(monitoredPrimary)) {
            monitoredPrimary = current;
            failures = 0;
            highestReplicaPosition = 0;
            replicationProgressed = false;
            evidence.clear();
        }
        long highest = view.observations().values().stream()
                .map(MemberObservation::status)
                .filter(status -> status.role() == MemberRole.REPLICA)
                .mapToLong(status -> status.position().position())
                .max()
                .orElse(0);
        if (highest > highestReplicaPosition) {
            replicationProgressed = highestReplicaPosition > 0;
            highestReplicaPosition = highest;
            lastProgressNanos = nowNanos;
        }
    }

    private Condition condition(GroupView view) {
        if (monitoredPrimary.isEmpty()) {
            return Condition.NO_PRIMARY;
        }
        if (failures > 0) {
            return Condition.PRIMARY_UNREACHABLE;
        }
        return FollowerRepair.needsNewTerm(view) ? Condition.MEMBER_IN_LATER_TERM : Condition.HEALTHY;
    }

    private static int recentlyReadMembers(GroupView view, long nowNanos) {
        return (int) view.observations().values().stream()
                .filter(observation -> nowNanos - observation.readBeganNanos() <= MAXIMUM_READ_AGE_NANOS)
                .count();
    }

    private PromotionDecision proposeAfter(long delayNanos, long nowNanos, String reason) {
        return nowNanos - conditionSinceNanos >= delayNanos
                ? PromotionDecision.propose(reason)
                : PromotionDecision.investigate(reason);
    }

    private PromotionDecision decideUnreachable(ProposerContext proposer, long rankDelay, long nowNanos) {
        long unreachableNanos = unreachableNanos(nowNanos);
        String finding =
                "the primary failed to answer " + failures + " times in " + unreachableNanos / 1_000_000 + " ms";
        if (failures < MINIMUM_FAILURES || unreachableNanos < MINIMUM_UNREACHABLE_NANOS + rankDelay) {
            return PromotionDecision.investigate(finding);
        }
        if (proposer.peers().isEmpty()) {
            return decideWithoutPeers(rankDelay, finding, nowNanos);
        }
        FailureEvidence.DomainTally tally = evidence.count(proposer.failureDomain(), nowNanos);
        boolean corroborated = proposer.hasPeersInOtherDomains() ? tally.otherDomainAgrees() : tally.ownPeerAgrees();
        String findingWithTally = finding + ", " + tally.unreachable() + " failure domains do not reach it and "
                + tally.reachable() + " reach it";
        if (!corroborated || !tally.majorityUnreachable()) {
            return PromotionDecision.investigate(findingWithTally);
        }
        return PromotionDecision.propose(findingWithTally);
    }

    private PromotionDecision decideWithoutPeers(long rankDelay, String finding, long nowNanos) {
        boolean progress = replicationProgressed && nowNanos - lastProgressNanos < PROGRESS_WINDOW_NANOS;
        if (progress || unreachableNanos(nowNanos) < NO_PEERS_DELAY_NANOS + rankDelay) {
            return PromotionDecision.investigate(finding + ", no other entry VM is alive to confirm it");
        }
        return PromotionDecision.propose(finding + ", no other entry VM is alive and no replica makes progress");
    }
}
