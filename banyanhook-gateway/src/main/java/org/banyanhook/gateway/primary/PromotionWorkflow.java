package org.banyanhook.gateway.primary;

import com.google.common.collect.ImmutableSet;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.banyanhook.core.primary.GrantedVotes;
import org.banyanhook.core.primary.PromotionPermission;
import org.banyanhook.core.primary.PromotionPermission.VoteTally;
import org.banyanhook.core.primary.SilentDaemon;
import org.banyanhook.core.primary.SuccessorChoice;
import org.banyanhook.core.primary.SuccessorChoice.LogReport;
import org.banyanhook.core.primary.UnresolvedPromotions;
import org.banyanhook.core.primary.UnresolvedPromotions.RecordedPromotion;
import org.banyanhook.core.replication.LogPosition;
import org.banyanhook.core.store.StoreRevision;
import org.banyanhook.gateway.backend.DatabaseGroup;
import org.banyanhook.gateway.backend.MemberProbe;
import org.banyanhook.gateway.backend.MemberServer;
import org.banyanhook.gateway.fleet.DutyLease;
import org.banyanhook.gateway.fleet.FleetDirectory;
import org.banyanhook.gateway.fleet.StoreEras;
import org.banyanhook.gateway.message.MemberCommand;
import org.banyanhook.gateway.message.MemberReport;
import org.banyanhook.gateway.operation.DecisionLog;
import org.banyanhook.gateway.operation.MonotonicClock;
import org.banyanhook.gateway.port.FleetRecord;
import org.banyanhook.gateway.port.FleetRecordCodec;
import org.banyanhook.gateway.port.PromotionAuthority;
import org.banyanhook.gateway.port.RecordStore;
import org.banyanhook.gateway.port.StoreLease;
import org.jspecify.annotations.Nullable;

/**
 * Performs a promotion: acquires the promotion lease, makes sure that no daemon uses the old primary, asks the members
 * for their logs and has the platform promote the one that {@link SuccessorChoice} names. Used on the event loop only.
 */
public final class PromotionWorkflow {

    /** How long the member may take to become primary after the platform has accepted the promotion. */
    static final long PROMOTION_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(3_000);

    private static final long CATCH_UP_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    /** How long a replica may take to catch up with a primary with synchronous replicas that is still in use. */
    private static final long READY_SUCCESSOR_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private static final long POLL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(60);
    private static final int MAXIMUM_PROMOTION_REQUESTS = 4;
    private static final long PROMOTION_RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    private final RecordStore store;
    private final FleetRecordCodec recordCodec;
    private final FleetDirectory directory;
    private final StoreEras eras;
    private final PromotionLeases promotionLeases;
    private final PeerVoteExchange voteExchange;
    private final PromotionVoter voter;
    private final MemberProbe probe;
    private final PromotionAuthority authority;
    private final String entryVm;
    private final EventLoop eventLoop;
    private final MonotonicClock clock;
    private final DecisionLog log;
    private final PrimaryStepDown stepDown;
    private final PromotionCandidates candidates;
    private final UnresolvedPromotions unresolvedPromotions = new UnresolvedPromotions();

    /**
     * The result of recording a promotion in the store.
     *
     * @param promotion the promotion
     * @param position the end of the member's log when it was chosen
     * @param revision the revision of the record, or none if it was not written
     */
    private record Recording(FleetRecord.Promotion promotion, LogPosition position, StoreRevision revision) {}

    /** The state before a step-down: the reports of the other members, and the status of the old primary. */
    private record StepDownStart(List<LogReport> reports, Optional<MemberReport> status) {}

    private record VoteOutcome(
            long requestedNanos,
            PromotionPermission permission,
            @Nullable QuorumApproval approval) {}

    /**
     * Creates a workflow.
     *
     * @param entryVm the name of this entry VM
     * @param store stores the last promotion of each group
     * @param recordCodec provides the keys and the encoding of the records
     * @param directory provides the failure domains that operators have taken out and the leases of the daemons
     * @param eras the eras of the store; nothing is promoted before all records of the newest one have been read
     * @param promotionLeases the leases that allow this daemon to promote members
     * @param voteExchange requests the votes of the other daemons
     * @param voter records the vote of this daemon
     * @param probe sends commands to members
     * @param authority the platform's promotion call
     * @param eventLoop the event loop on which everything runs
     * @param clock the monotonic clock
     * @param log receives a line for each decision
     */
    public PromotionWorkflow(
            String entryVm,
            RecordStore store,
            FleetRecordCodec recordCodec,
            FleetDirectory directory,
            StoreEras eras,
            PromotionLeases promotionLeases,
            PeerVoteExchange voteExchange,
            PromotionVoter voter,
            MemberProbe probe,
            PromotionAuthority authority,
            EventLoop eventLoop,
            MonotonicClock clock,
            DecisionLog log) {
        this.entryVm = entryVm;
        this.store = store;
        this.recordCodec = recordCodec;
        this.directory = directory;
        this.eras = eras;
        this.promotionLeases = promotionLeases;
        this.voteExchange = voteExchange;
        this.voter = voter;
        this.probe = probe;
        this.authority = authority;
        this.eventLoop = eventLoop;
        this.clock = clock;
        this.log = log;
        this.stepDown = new PrimaryStepDown(probe, clock);
        this.candidates = new PromotionCandidates(directory, probe, clock);
    }

    /** Observes the primary of a group, so that a promotion counts as complete once its member leads. */
    void observePrimary(DatabaseGroup group) {
        group.primary()
                .ifPresent(primary ->
                        unresolvedPromotions.observePrimary(group.name(), primary.name(), recordedPromotion(group)));
    }

    /** Asks the members that are not listed any more whether they still receive commits. */
    void checkDeparted(DatabaseGroup group) {
        candidates.checkDeparted(group);
    }

    private @Nullable RecordedPromotion recordedPromotion(DatabaseGroup group) {
        return directory.recordedPromotion(group.name()).orElse(null);
    }

    /**
     * Replaces the primary of a group.
     *
     * @param group the group
     * @param reason why the primary has to be replaced
     * @param rejected members that the platform refused to promote; extended by this method
     * @return the outcome, for the log
     */
    CompletableFuture<String> replace(DatabaseGroup group, PromotionController.Reason reason, Set<String> rejected) {
        if (!eras.mayDecideIn(eras.newest())) {
            return CompletableFuture.completedFuture("not all records of the store's new era have been read");
        }
        if (directory.configuration().version() == 0) {
            return CompletableFuture.completedFuture("no configuration has been read, which may require replicas");
        }
        return collectVotes(group, reason.planned()).thenCompose(outcome -> {
            QuorumApproval approval = outcome.approval();
            if (approval == null) {
                return CompletableFuture.completedFuture(outcome.permission().reason());
            }
            if (!reason.planned()) {
                group.pausePrimary(clock.nowNanos() + PROMOTION_TIMEOUT_NANOS);
                group.stopUsingPrimary("the primary is being replaced");
                return promotionLeases
                        .lease(group.name())
                        .acquire()
                        .thenCompose(token -> promoteBest(group, token, rejected, approval));
            }
            // The old primary serves until unresponsive daemons have stopped using it; then the votes are requested
            // again.
            return approval.unresponsive().isEmpty()
                    ? switchOver(group, rejected, approval)
                    : revokeLeases(approval.unresponsive())
                            .thenCompose(done -> delay(PromotionPermission.STOPPED_AFTER_NANOS))
                            .thenCompose(done -> collectVotes(group, true))
                            .thenCompose(secondVote -> secondVote.approval() == null
                                    ? CompletableFuture.completedFuture("not approved again: "
                                            + secondVote.permission().reason())
                                    : switchOver(group, rejected, approval.renewedBy(secondVote.approval())));
        });
    }

    /** Requests the votes of all other daemons on the replacement, and adds that of this daemon if it is approved. */
    private CompletableFuture<VoteOutcome> collectVotes(DatabaseGroup group, boolean planned) {
        long requestedNanos = clock.nowNanos();
        long era = eras.newest();
        return voteExchange.requestVotes(group.name(), planned).thenApply(round -> {
            VoteOutcome outcome = evaluateVotes(group, planned, requestedNanos, era, round);
            if (outcome.approval() != null) {
                voter.grantVote(group.name());
            }
            return outcome;
        });
    }

    private VoteOutcome evaluateVotes(
            DatabaseGroup group, boolean planned, long requestedNanos, long era, PeerVoteExchange.RoundResult round) {
        VoteTally votes = round.votes();
        PromotionPermission permission = PromotionPermission.decide(votes, round.mayDecide(), 0);
        log.line("primary-votes")
                .with("group", group.name())
                .with("planned", planned)
                .with("asked", votes.asked())
                .with("unreachable", votes.unreachable())
                .with("reachable", votes.reachable())
                .with("votersVersion", round.voters().sets().version())
                .with("votersSuffice", round.mayDecide())
                .with("outcome", permission.name())
                .write();
        return switch (permission) {
            case GRANTED, SILENT_DAEMONS ->
                new VoteOutcome(
                        requestedNanos,
                        permission,
                        new QuorumApproval(
                                requestedNanos,
                                era,
                                round.voters().storedRevision(),
                                mayUsePrimary(round),
                                Set.of(),
                                LogPosition.START));
            case STILL_REACHED, NO_MAJORITY -> new VoteOutcome(requestedNanos, permission, null);
        };
    }

    /** Returns the daemons that did not answer and may still use the old primary. */
    private Set<String> mayUsePrimary(PeerVoteExchange.RoundResult round) {
        Set<String> daemons = new HashSet<>(round.unresponsive());
        daemons.removeIf(daemon -> !new SilentDaemon(
                        directory.daemonLease(daemon).isPresent(),
                        directory.nanosSinceEntryEnded(daemon),
                        round.inquirers().contains(daemon))
                .mayUsePrimary());
        return daemons;
    }

    /** Makes the old primary step down, then promotes a member that has caught up with it. */
    private CompletableFuture<String> switchOver(DatabaseGroup group, Set<String> rejected, QuorumApproval approval) {
        return promotionLeases.lease(group.name()).acquire().thenCompose(token -> {
            MemberServer oldPrimary = group.primary().orElse(null);
            if (oldPrimary == null) {
                return CompletableFuture.completedFuture("the group has no primary any more");
            }
            CompletableFuture<Optional<MemberReport>> status = probe.send(oldPrimary, new MemberCommand.Status());
            return candidates
                    .find(group, rejected)
                    .thenCombine(status, StepDownStart::new)
                    .thenCompose(start -> {
                        if (start.reports().stream().noneMatch(LogReport::eligible)) {
                            return CompletableFuture.completedFuture("no member is eligible for promotion");
                        }
                        MemberReport report = start.status().orElse(null);
                        return awaitReadySuccessor(group, report, rejected)
                                .thenCompose(ready -> ready
                                        ? stepDownAndPromote(group, oldPrimary, report, token, rejected, approval)
                                        : CompletableFuture.completedFuture(
                                                "no eligible member has caught up with the old primary"));
                    });
        });
    }

    private CompletableFuture<String> stepDownAndPromote(
            DatabaseGroup group,
            MemberServer oldPrimary,
            @Nullable MemberReport status,
            StoreRevision token,
            Set<String> rejected,
            QuorumApproval approval) {
        group.pausePrimary(clock.nowNanos() + PROMOTION_TIMEOUT_NANOS);
        return stepDown.perform(group, oldPrimary, status).thenCompose(report -> {
            if (report.isEmpty()) {
                return CompletableFuture.completedFuture("the old primary did not confirm its step-down");
            }
            if (report.get().primary()) {
                group.resumePrimary();
                return CompletableFuture.completedFuture(
                        "the old primary leads term " + report.get().term() + " and did not step down");
            }
            LogPosition finalPosition = report.get().position();
            long until = clock.nowNanos() + CATCH_UP_TIMEOUT_NANOS;
            return awaitCatchUp(group, rejected, finalPosition, until)
                    .thenCompose(
                            done -> promoteBest(group, token, rejected, approval.withTargetPosition(finalPosition)));
        });
    }

    /**
     * Waits for an eligible member that receives the commits of a primary with synchronous replicas. Such a primary
     * must not step down without one, since nobody could take over from it without a loss.
     *
     * @param status the last status of the primary, or null if it did not answer
     */
    private CompletableFuture<Boolean> awaitReadySuccessor(
            DatabaseGroup group, @Nullable MemberReport status, Set<String> rejected) {
        if (group.synchronousReplicas() == 0) {
            return CompletableFuture.completedFuture(true);
        }
        return status == null
                ? CompletableFuture.completedFuture(false)
                : awaitCatchUp(group, rejected, status.position(), clock.nowNanos() + READY_SUCCESSOR_TIMEOUT_NANOS);
    }

    private CompletableFuture<Boolean> awaitCatchUp(
            DatabaseGroup group, Set<String> rejected, LogPosition position, long untilNanos) {
        return candidates.find(group, rejected).thenCompose(found -> {
            boolean caughtUp = found.stream()
                    .anyMatch(report -> report.eligible() && report.position().covers(position));
            if (caughtUp || clock.nowNanos() - untilNanos >= 0) {
                return CompletableFuture.completedFuture(caughtUp);
            }
            return delay(POLL_INTERVAL_NANOS).thenCompose(done -> awaitCatchUp(group, rejected, position, untilNanos));
        });
    }

    private CompletableFuture<String> promoteBest(
            DatabaseGroup group, StoreRevision token, Set<String> rejected, QuorumApproval approval) {
        boolean steppedDown = !approval.targetPosition().equals(LogPosition.START);
        CompletableFuture<List<LogReport>> reports =
                steppedDown ? candidates.find(group, rejected) : candidates.findIncludingSlow(group, rejected);
        return reports.thenCompose(found -> {
            SuccessorChoice.Decision decision = chooseSuccessor(group, found, approval);
            logDecision(group, decision, found.size(), token, approval);
            if (decision.member().isEmpty()) {
                rejected.clear();
                return CompletableFuture.completedFuture(decision.reason());
            }
            return endEarlierLeadership(group, decision)
                    .thenCompose(ended -> ended
                            ? recordAndPromote(group, decision, token, rejected, approval)
                            : CompletableFuture.completedFuture("the member to promote did not step down"));
        });
    }

    /** Makes the member to promote step down if it takes itself for the primary of an earlier term. */
    private CompletableFuture<Boolean> endEarlierLeadership(DatabaseGroup group, SuccessorChoice.Decision decision) {
        if (!decision.stepsDownFirst()) {
            return CompletableFuture.completedFuture(true);
        }
        return decision.member()
                .flatMap(group::server)
                .map(server -> stepDown.perform(group, server, null)
                        .thenApply(report ->
                                report.filter(found -> !found.primary()).isPresent()))
                .orElseGet(() -> CompletableFuture.completedFuture(false));
    }

    private CompletableFuture<String> recordAndPromote(
            DatabaseGroup group,
            SuccessorChoice.Decision decision,
            StoreRevision token,
            Set<String> rejected,
            QuorumApproval approval) {
        String member = decision.member().orElseThrow();
        return recordPromotion(group, member, decision.position(), token, approval)
                .thenCompose(recording -> recording.revision().equals(StoreRevision.NONE)
                        ? CompletableFuture.completedFuture(
                                "not recorded: the votes of the other daemons are too old, or the store was restored since")
                        : promoteRecorded(group, recording, token, rejected, approval));
    }

    private SuccessorChoice.Decision chooseSuccessor(
            DatabaseGroup group, List<LogReport> reports, QuorumApproval approval) {
        ImmutableSet<String> members = reports.stream().map(LogReport::member).collect(ImmutableSet.toImmutableSet());
        return SuccessorChoice.builder()
                .synchronousReplicas(group.synchronousReplicas())
                .reports(reports)
                .possibleHolders(group.commitHolders().possibleHolders())
                .requiredPosition(approval.targetPosition())
                .earlierPromotion(unresolvedPromotions.earlierPromotion(
                        group.name(), recordedPromotion(group), members, clock.nowNanos()))
                .build()
                .decide();
    }

    private void logDecision(
            DatabaseGroup group,
            SuccessorChoice.Decision decision,
            int reports,
            StoreRevision token,
            QuorumApproval approval) {
        log.line("promotion-choice")
                .with("group", group.name())
                .with("member", decision.member().orElse(null))
                .with("reason", decision.reason())
                .with("stepsDownFirst", decision.stepsDownFirst())
                .with("earlierRequest", decision.repeated())
                .with("position", decision.position().toString())
                .with("wanted", approval.targetPosition().toString())
                .with("candidates", reports)
                .with("awaited", String.join(", ", decision.awaited()))
                .with("synchronousReplicas", group.synchronousReplicas())
                .with("token", token.fencingToken())
                .write();
    }

    /** Records the promotion in the store, unless the votes are too old or of an older era of the store. */
    private CompletableFuture<Recording> recordPromotion(
            DatabaseGroup group, String member, LogPosition position, StoreRevision token, QuorumApproval approval) {
        FleetRecord.Promotion promotion =
                new FleetRecord.Promotion(group.name(), member, new StoreRevision(token.era(), 0));
        if (clock.nowNanos() - approval.requestedNanos() > GrantedVotes.RECORDING_TIMEOUT_NANOS
                || approval.era() != token.era()
                || !eras.mayDecideIn(token.era())) {
            return CompletableFuture.completedFuture(new Recording(promotion, position, StoreRevision.NONE));
        }
        long silenceNanos = approval.unresponsive().isEmpty() ? 0 : PromotionPermission.STOPPED_AFTER_NANOS;
        group.pausePrimary(clock.nowNanos() + PROMOTION_TIMEOUT_NANOS + silenceNanos);
        return store.putGuarded(
                        recordCodec.promotionKey(group.name()),
                        recordCodec.encode(promotion),
                        directory.storedPromotionRevision(group.name()),
                        Map.of(
                                recordCodec.promotionLeaseKey(group.name()),
                                token,
                                recordCodec.votersKey(),
                                approval.votersRevision()))
                .thenApply(revision -> new Recording(promotion, position, revision));
    }

    /**
     * Revokes the leases of daemons that did not answer. A daemon whose lease the store still renews would otherwise go
     * on using the old primary if its watch were broken. After the revocation, it has to read all records again before
     * it counts as being in contact with the store.
     */
    private CompletableFuture<Void> revokeLeases(Set<String> unresponsive) {
        List<CompletableFuture<Void>> revocations = new ArrayList<>();
        for (String daemon : unresponsive) {
            Optional<StoreLease> lease = directory.daemonLease(daemon);
            if (lease.isPresent()) {
                log.line("shut-out")
                        .with("daemon", daemon)
                        .with("lease", lease.get().id())
                        .write();
                revocations.add(store.endLease(lease.get()).exceptionallyCompose(DutyLease::ignoreEndedLease));
            }
        }
        return CompletableFuture.allOf(revocations.toArray(new CompletableFuture<?>[0]));
    }

    /**
     * Requests the promotion once no daemon uses the old primary any more. Each daemon is told of the record, since a
     * daemon whose watch is broken would not read it, and the old primary still answers reads after its step-down. A
     * daemon that does not answer is shut out. A daemon that restarts later reads the record.
     */
    private CompletableFuture<String> promoteRecorded(
            DatabaseGroup group,
            Recording recording,
            StoreRevision token,
            Set<String> rejected,
            QuorumApproval approval) {
        voter.learnPromotion(recording.promotion(), recording.revision());
        long announcedNanos = clock.nowNanos();
        return shutOut(group, approval.unresponsive())
                .thenCombine(
                        voteExchange.announcePromotion(recording.promotion(), recording.revision()),
                        (done, round) -> evaluateVotes(group, true, announcedNanos, token.era(), round))
                .thenCompose(announcement -> announcement.approval() == null
                        ? CompletableFuture.completedFuture("recorded, but not approved again: "
                                + announcement.permission().reason())
                        : shutOut(group, stillConnected(announcement.approval().unresponsive(), approval))
                                .thenCompose(done ->
                                        promotionLeases.lease(group.name()).acquire())
                                .thenCompose(renewed -> renewed.equals(token)
                                        ? requestPromotion(group, recording, token, rejected, 1)
                                        : CompletableFuture.completedFuture(
                                                "the promotion lease was lost before the request")));
    }

    /** Returns the unresponsive daemons that may be in contact with the store and have not been shut out yet. */
    private Set<String> stillConnected(Set<String> unresponsive, QuorumApproval approval) {
        Set<String> connected = new HashSet<>(unresponsive);
        connected.removeAll(approval.unresponsive());
        connected.removeIf(daemon -> approval.shutOut().contains(daemon)
                && directory.daemonLease(daemon).isEmpty());
        return connected;
    }

    /** Revokes the leases of daemons and waits until they have certainly stopped using the old primary. */
    private CompletableFuture<Void> shutOut(DatabaseGroup group, Set<String> daemons) {
        return daemons.isEmpty()
                ? CompletableFuture.completedFuture(null)
                : revokeLeases(daemons)
                        .thenCompose(done -> awaitHoldingLease(group, PromotionPermission.STOPPED_AFTER_NANOS))
                        .thenApply(renewed -> null);
    }

    /** Waits and renews the promotion lease, which lasts little longer than the wait. */
    private CompletableFuture<StoreRevision> awaitHoldingLease(DatabaseGroup group, long nanos) {
        DutyLease promotionLease = promotionLeases.lease(group.name());
        return delay(nanos / 2)
                .thenCompose(done -> promotionLease.acquire())
                .thenCompose(token -> delay(nanos / 2))
                .thenCompose(done -> promotionLease.acquire());
    }

    private CompletableFuture<String> requestPromotion(
            DatabaseGroup group, Recording recording, StoreRevision token, Set<String> rejected, int attempt) {
        String member = recording.promotion().member();
        if (!promotionLeases.lease(group.name()).isHeld()) {
            return CompletableFuture.completedFuture("the promotion lease expired before the request");
        }
        return authority
                .promote(group.name(), member, entryVm, token.fencingToken())
                .thenCompose(result -> switch (result) {
                    case ACCEPTED -> {
                        unresolvedPromotions.recordAnswer(group.name());
                        yield awaitPrimary(group, member, clock.nowNanos() + PROMOTION_TIMEOUT_NANOS);
                    }
                    case REJECTED -> {
                        unresolvedPromotions.recordAnswer(group.name());
                        rejected.add(member);
                        yield CompletableFuture.completedFuture("rejected: " + member);
                    }
                    case REFUSED -> retryPromotion(group, recording, token, rejected, attempt);
                    case NO_ANSWER -> {
                        unresolvedPromotions.recordUnanswered(
                                group.name(), member, recording.revision(), recording.position(), clock.nowNanos());
                        yield retryPromotion(group, recording, token, rejected, attempt);
                    }
                });
    }

    private CompletableFuture<String> retryPromotion(
            DatabaseGroup group, Recording recording, StoreRevision token, Set<String> rejected, int attempt) {
        return attempt >= MAXIMUM_PROMOTION_REQUESTS
                ? CompletableFuture.completedFuture("the platform did not answer the promotion request")
                : delay(PROMOTION_RETRY_DELAY_NANOS)
                        .thenCompose(done -> requestPromotion(group, recording, token, rejected, attempt + 1));
    }

    private CompletableFuture<String> awaitPrimary(DatabaseGroup group, String member, long untilNanos) {
        if (group.primary().filter(primary -> primary.name().equals(member)).isPresent()) {
            group.resumePrimary();
            return CompletableFuture.completedFuture("promoted " + member);
        }
        if (clock.nowNanos() - untilNanos >= 0) {
            return CompletableFuture.completedFuture("accepted, but " + member + " does not report to be primary");
        }
        return delay(POLL_INTERVAL_NANOS).thenCompose(done -> awaitPrimary(group, member, untilNanos));
    }

    private CompletableFuture<Void> delay(long nanos) {
        CompletableFuture<Void> elapsed = new CompletableFuture<>();
        var unused = eventLoop.schedule(() -> elapsed.complete(null), nanos, TimeUnit.NANOSECONDS);
        return elapsed;
    }
}
