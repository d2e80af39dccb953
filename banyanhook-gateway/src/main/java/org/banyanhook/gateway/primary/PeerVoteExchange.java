package org.banyanhook.gateway.primary;

import com.google.common.collect.Sets;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.banyanhook.core.primary.PromotionPermission;
import org.banyanhook.core.primary.PromotionPermission.VoteTally;
import org.banyanhook.core.primary.PromotionVoters;
import org.banyanhook.core.store.StoreRevision;
import org.banyanhook.daemon.peer.PeerMessenger;
import org.banyanhook.gateway.fleet.FleetDirectory;
import org.banyanhook.gateway.fleet.StoreEras;
import org.banyanhook.gateway.operation.MonotonicClock;
import org.banyanhook.gateway.port.DaemonEntry;
import org.banyanhook.gateway.port.FleetRecord;
import org.banyanhook.protocol.generated.PeerEnvelope;
import org.banyanhook.protocol.generated.PrimaryEvidence;
import org.banyanhook.protocol.generated.PrimaryEvidenceRequest;

/**
 * Exchanges votes on the replacement of a primary with the other daemons: collects theirs, and answers their requests
 * through a {@link Voter}.
 */
public final class PeerVoteExchange {

    /**
     * Exceeds the time that the other daemon's probe of the primary takes plus the round trip between any two regions.
     */
    private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(800);

    private final PeerMessenger messenger;
    private final FleetDirectory directory;
    private final StoreEras eras;
    private final EventLoop eventLoop;
    private final String entryVm;
    private final MonotonicClock clock;
    private final Map<String, Long> inquiryNanos = new HashMap<>();

    /**
     * The combined answers of the other daemons to one round of requests.
     *
     * @param votes the number of daemons asked and their votes
     * @param unresponsive the daemons that did not answer
     * @param groupsInDoubt the groups whose primary, according to any of the daemons, was or may have been replaced
     * @param inquirers the daemons that recently asked any of the daemons which primaries were replaced
     */
    public record RoundResult(
            VoteTally votes, Set<String> unresponsive, Set<String> groupsInDoubt, Set<String> inquirers) {

        public RoundResult {
            unresponsive = Set.copyOf(unresponsive);
            groupsInDoubt = Set.copyOf(groupsInDoubt);
            inquirers = Set.copyOf(inquirers);
        }

        /**
         * Adds daemons that a voter reports but that were not asked to the unresponsive ones. A daemon that started
         * recently does not know of daemons whose entries had ended before.
         */
        private RoundResult withUnaskedInquirers(Set<String> asked) {
            return new RoundResult(
                    votes, Sets.union(unresponsive, Sets.difference(inquirers, asked)), groupsInDoubt, inquirers);
        }

        private RoundResult merge(RoundResult other) {
            return new RoundResult(
                    votes.plus(other.votes),
                    Sets.union(unresponsive, other.unresponsive),
                    Sets.union(groupsInDoubt, other.groupsInDoubt),
                    Sets.union(inquirers, other.inquirers));
        }
    }

    /** Answers the requests of other daemons. Called on the event loop. */
    public interface Voter {
        /**
         * Votes on the replacement of a group's primary. The vote is granted if this daemon cannot reach the primary or
         * if the replacement is planned.
         *
         * @param group the group
         * @param planned whether the primary is to be replaced although it is alive
         * @return for how long the primary has been unreachable, in nanoseconds, if the vote is granted; negative if
         *     the primary is reachable and stays in use. The future never fails.
         */
        CompletableFuture<Long> voteOnReplacement(String group, boolean planned);

        /**
         * Learns of a promotion that the requesting daemon has recorded in the store, and stops using the old primary.
         *
         * @param promotion the promotion
         * @param revision the revision of its record
         */
        void learnPromotion(FleetRecord.Promotion promotion, StoreRevision revision);

        /**
         * Returns the groups whose primary was or may have been replaced since a revision.
         *
         * @param knownRevision the revision of the newest promotion that the requesting daemon has read
         */
        Set<String> groupsInDoubt(StoreRevision knownRevision);

        /** Returns whether this daemon has read all records of the store, so that others may rely on its answers. */
        boolean hasReadStore();
    }

    /**
     * Creates an exchange.
     *
     * @param entryVm the name of this entry VM
     * @param messenger sends messages to other daemons
     * @param directory provides the addresses of the other daemons
     * @param eras the eras of the store; daemons in different eras do not rely on each other
     * @param eventLoop the event loop on which answers are handled
     * @param clock the monotonic clock
     */
    public PeerVoteExchange(
            String entryVm,
            PeerMessenger messenger,
            FleetDirectory directory,
            StoreEras eras,
            EventLoop eventLoop,
            MonotonicClock clock) {
        this.entryVm = entryVm;
        this.messenger = messenger;
        this.directory = directory;
        this.eras = eras;
        this.eventLoop = eventLoop;
        this.clock = clock;
    }

    /**
     * Starts to answer the requests of other daemons.
     *
     * @param voter computes the answers
     */
    public void serve(Voter voter) {
        messenger.registerHandler(PeerEnvelope.BodyCase.PRIMARY_EVIDENCE_REQUEST, message -> {
            PrimaryEvidenceRequest request = message.getPrimaryEvidenceRequest();
            return CompletableFuture.supplyAsync(() -> respond(voter, message.getSenderEntryVm(), request), eventLoop)
                    .thenCompose(answer -> answer);
        });
    }

    private CompletableFuture<PeerEnvelope> respond(Voter voter, String sender, PrimaryEvidenceRequest request) {
        if (!eras.mayDecideIn(request.getStoreEra())) {
            // The sender counts this daemon as unresponsive, and so shuts it out before it relies on its silence.
            return CompletableFuture.failedFuture(new IllegalStateException("cannot answer in era "
                    + request.getStoreEra() + " of the store: the newest era seen is " + eras.newest()
                    + (eras.hasReadNewest() ? "" : ", whose records have not all been read")));
        }
        PrimaryEvidence.Builder evidence = PrimaryEvidence.newBuilder()
                .setDatabase(request.getDatabase())
                .setStoreEra(eras.newest())
                .addAllRecentInquirers(recentInquirers());
        if (request.getPromotionRevision() > 0) {
            voter.learnPromotion(
                    new FleetRecord.Promotion(
                            request.getDatabase(),
                            request.getPromotedMember(),
                            new StoreRevision(request.getStoreEra(), 0)),
                    new StoreRevision(request.getStoreEra(), request.getPromotionRevision()));
            return CompletableFuture.completedFuture(envelope(evidence.setPrimaryUnreachable(true)));
        }
        if (!request.getDatabase().isEmpty()) {
            return voter.voteOnReplacement(request.getDatabase(), request.getPlanned())
                    .thenApply(nanos -> envelope(evidence.setPrimaryUnreachable(nanos >= 0)
                            .setUnreachableMillis(Math.max(0, TimeUnit.NANOSECONDS.toMillis(nanos)))));
        }
        inquiryNanos.put(sender, clock.nowNanos());
        if (!voter.hasReadStore()) {
            return CompletableFuture.failedFuture(new IllegalStateException(
                    "cannot report promotions: not all store records have been read since the start"));
        }
        return CompletableFuture.completedFuture(
                envelope(evidence.addAllDatabasesInDoubt(voter.groupsInDoubt(knownRevision(request)))));
    }

    /** Returns the daemons whose last inquiry is so recent that they may still rely on the answers. */
    private Set<String> recentInquirers() {
        long now = clock.nowNanos();
        inquiryNanos.values().removeIf(nanos -> now - nanos >= PromotionPermission.STOPPED_AFTER_NANOS);
        return Set.copyOf(inquiryNanos.keySet());
    }

    private static PeerEnvelope envelope(PrimaryEvidence.Builder evidence) {
        return PeerEnvelope.newBuilder().setPrimaryEvidence(evidence).build();
    }

    /**
     * Requests the votes of all other daemons on the replacement of a primary.
     *
     * @param group the database group
     * @param planned whether the primary is to be replaced although it is alive
     * @return the combined answers, completed once all daemons have answered or timed out; never fails
     */
    public CompletableFuture<RoundResult> requestVotes(String group, boolean planned) {
        Map<String, DaemonEntry> all = directory.recentDaemons();
        return sendRequests(
                PrimaryEvidenceRequest.newBuilder().setDatabase(group).setPlanned(planned),
                eras.newest(),
                all.keySet());
    }

    /**
     * Tells all other daemons about a promotion that was recorded in the store. A daemon that answers has stopped using
     * the old primary, even if it has not read the record yet.
     *
     * @param promotion the promotion
     * @param revision the revision of its record
     * @return the combined answers, completed once all daemons have answered or timed out; never fails
     */
    public CompletableFuture<RoundResult> announcePromotion(FleetRecord.Promotion promotion, StoreRevision revision) {
        return sendRequests(
                PrimaryEvidenceRequest.newBuilder()
                        .setDatabase(promotion.group())
                        .setPlanned(true)
                        .setPromotedMember(promotion.member())
                        .setPromotionRevision(revision.number()),
                revision.era(),
                directory.recentDaemons().keySet());
    }

    /**
     * Asks the other voters which primaries were replaced.
     *
     * @return the combined answers, completed once all voters have answered or timed out; never fails
     */
    public CompletableFuture<RoundResult> queryReplacedPrimaries() {
        Set<String> voters = PromotionVoters.of(directory.recentDaemons().keySet());
        // The term field carries the newest promotion revision known here, so that only later promotions are returned.
        StoreRevision known = directory.newestPromotionRevision();
        long term = eras.newest() == 0 ? known.number() : known.fencingToken();
        return sendRequests(PrimaryEvidenceRequest.newBuilder().setTerm(term), eras.newest(), voters);
    }

    /** Returns the newest promotion revision that the sender knows, which has the form of a token if there are eras. */
    private static StoreRevision knownRevision(PrimaryEvidenceRequest request) {
        return request.getStoreEra() == 0
                ? new StoreRevision(0, Math.max(0, request.getTerm()))
                : StoreRevision.ofFencingToken(Math.max(0, request.getTerm()));
    }

    private CompletableFuture<RoundResult> sendRequests(
            PrimaryEvidenceRequest.Builder request, long era, Set<String> daemons) {
        PeerEnvelope body = PeerEnvelope.newBuilder()
                .setPrimaryEvidenceRequest(request.setStoreEra(era))
                .build();
        Map<String, DaemonEntry> entries = directory.recentDaemons();
        Set<String> voters = PromotionVoters.of(entries.keySet());
        List<CompletableFuture<RoundResult>> answers = new ArrayList<>();
        for (String daemon : daemons) {
            DaemonEntry entry = entries.get(daemon);
            if (entry != null && !daemon.equals(entryVm)) {
                int voterCount = voters.contains(daemon) ? 1 : 0;
                answers.add(messenger
                        .request(entry.peerAddress(), body, REQUEST_TIMEOUT)
                        .handle((reply, failure) -> reply == null
                                        || reply.getPrimaryEvidence().getStoreEra() != era
                                ? new RoundResult(
                                        new VoteTally(1, 0, 0, voterCount, 0), Set.of(daemon), Set.of(), Set.of())
                                : toResult(reply.getPrimaryEvidence(), voterCount)));
            }
        }
        // With no daemon listed, not even this one because its own entry ended long ago, this daemon is the only voter.
        boolean isVoter = voters.contains(entryVm) || voters.isEmpty();
        RoundResult ownResult = new RoundResult(
                isVoter ? VoteTally.EMPTY_FOR_VOTER : VoteTally.EMPTY_FOR_NON_VOTER,
                Set.of(),
                Set.of(),
                recentInquirers());
        return CompletableFuture.allOf(answers.toArray(new CompletableFuture<?>[0]))
                .thenApplyAsync(
                        done -> answers.stream()
                                .map(CompletableFuture::join)
                                .reduce(ownResult, RoundResult::merge)
                                .withUnaskedInquirers(Sets.union(daemons, Set.of(entryVm))),
                        eventLoop);
    }

    private static RoundResult toResult(PrimaryEvidence evidence, int voterCount) {
        int unreachable = evidence.getPrimaryUnreachable() ? 1 : 0;
        return new RoundResult(
                new VoteTally(1, unreachable, 1 - unreachable, voterCount, voterCount),
                Set.of(),
                Set.copyOf(evidence.getDatabasesInDoubtList()),
                Set.copyOf(evidence.getRecentInquirersList()));
    }
}
