package org.banyanhook.gateway.primary;

import com.google.common.collect.Sets;
import com.google.protobuf.ByteString;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.banyanhook.core.primary.PromotionPermission;
import org.banyanhook.core.primary.PromotionPermission.VoteTally;
import org.banyanhook.core.primary.VoterMaintenance;
import org.banyanhook.core.primary.VoterSelection;
import org.banyanhook.core.primary.VoterSets;
import org.banyanhook.core.store.StoreRevision;
import org.banyanhook.daemon.peer.PeerMessenger;
import org.banyanhook.gateway.fleet.FleetDirectory;
import org.banyanhook.gateway.fleet.StoreEras;
import org.banyanhook.gateway.operation.MonotonicClock;
import org.banyanhook.gateway.port.DaemonEntry;
import org.banyanhook.gateway.port.FleetRecord;
import org.banyanhook.gateway.port.FleetRecordCodec;
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
    private final FleetRecordCodec recordCodec;
    private final StoreEras eras;
    private final EventLoop eventLoop;
    private final String entryVm;
    private final MonotonicClock clock;
    private final StoreProgress storeProgress;
    private final Map<String, Long> inquiryNanos = new HashMap<>();

    /** What this daemon has read from the store. */
    public interface StoreProgress {
        /** Returns the time since the last call that the store answered, in nanoseconds; very large if it never did. */
        long nanosSinceContact();

        /** Returns the revision up to which all changes have been read. */
        StoreRevision readRevision();
    }

    /**
     * The combined answers of the other daemons to one round of requests.
     *
     * @param votes the number of daemons asked and their votes
     * @param unresponsive the daemons that did not answer
     * @param groupsInDoubt the groups whose primary, according to any of the daemons, was or may have been replaced
     * @param inquirers the daemons that recently asked any of the daemons which primaries were replaced
     * @param voters the voters that are in force after the answers
     * @param mayDecide whether the voters that answered suffice to replace a primary
     * @param mayRely whether the voters that answered suffice for a daemon without contact to the store
     * @param readRevisions the revision up to which each daemon that answered has read the store, by entry VM
     */
    public record RoundResult(
            VoteTally votes,
            Set<String> unresponsive,
            Set<String> groupsInDoubt,
            Set<String> inquirers,
            VotersInForce voters,
            boolean mayDecide,
            boolean mayRely,
            Map<String, StoreRevision> readRevisions) {

        public RoundResult {
            unresponsive = Set.copyOf(unresponsive);
            groupsInDoubt = Set.copyOf(groupsInDoubt);
            inquirers = Set.copyOf(inquirers);
            readRevisions = Map.copyOf(readRevisions);
        }
    }

    /**
     * The voters that were counted.
     *
     * @param sets the voters
     * @param storedRevision the revision of the record that the store holds, as far as this daemon knows
     */
    public record VotersInForce(VoterSets sets, StoreRevision storedRevision) {}

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
     * @param directory provides the voters and the addresses of the other daemons
     * @param recordCodec encodes the record of the voters
     * @param eras the eras of the store; daemons in different eras do not rely on each other
     * @param eventLoop the event loop on which answers are handled
     * @param clock the monotonic clock
     * @param storeProgress what this daemon has read from the store
     */
    public PeerVoteExchange(
            String entryVm,
            PeerMessenger messenger,
            FleetDirectory directory,
            FleetRecordCodec recordCodec,
            StoreEras eras,
            EventLoop eventLoop,
            MonotonicClock clock,
            StoreProgress storeProgress) {
        this.entryVm = entryVm;
        this.messenger = messenger;
        this.directory = directory;
        this.recordCodec = recordCodec;
        this.eras = eras;
        this.eventLoop = eventLoop;
        this.clock = clock;
        this.storeProgress = storeProgress;
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
                .setStoreRevision(numberInEra(storeProgress.readRevision()))
                .setRecentStoreContact(hasRecentContact())
                .addAllRecentInquirers(recentInquirers());
        addNewerVoters(evidence, request.getVotersRevision());
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

    /** Adds the record of the voters if it is newer than the one that the sender of a request knows. */
    private void addNewerVoters(PrimaryEvidence.Builder evidence, long knownRevision) {
        long revision = numberInEra(directory.voters().knownRevision());
        if (revision > knownRevision) {
            evidence.setVoters(ByteString.copyFrom(
                            recordCodec.encode(directory.voters().record())))
                    .setVotersRevision(revision);
        }
    }

    private boolean hasRecentContact() {
        return storeProgress.nanosSinceContact() <= VoterMaintenance.RELIANCE_NANOS;
    }

    /** Returns the number of a revision if it is of the newest era, else 0. */
    private long numberInEra(StoreRevision revision) {
        return revision.era() == eras.newest() ? revision.number() : 0;
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
        return sendRequests(
                PrimaryEvidenceRequest.newBuilder().setDatabase(group).setPlanned(planned),
                eras.newest(),
                reachableDaemons());
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
                reachableDaemons());
    }

    /**
     * Asks the other voters which primaries were replaced, and up to which revision they have read the store.
     *
     * @return the combined answers, completed once all voters have answered or timed out; never fails
     */
    public CompletableFuture<RoundResult> queryReplacedPrimaries() {
        // The term field carries the newest promotion revision known here, so that only later promotions are returned.
        StoreRevision known = directory.newestPromotionRevision();
        long term = eras.newest() == 0 ? known.number() : known.fencingToken();
        return sendRequests(PrimaryEvidenceRequest.newBuilder().setTerm(term), eras.newest(), voters());
    }

    /** Returns the voters, or in a small fleet all daemons until the first voters are in force. */
    private Map<String, DaemonEntry> voters() {
        Map<String, DaemonEntry> daemons = reachableDaemons();
        VoterSets sets = directory.voters().sets();
        if (sets.isInForce()) {
            daemons.keySet().retainAll(sets.all());
        } else if (daemons.size() > VoterSelection.MAXIMUM_VOTERS) {
            daemons.keySet()
                    .retainAll(VoterSelection.select(
                            directory.recentFailureDomains(), UnaryOperator.identity(), Set.of()));
        }
        return daemons;
    }

    /** Returns the daemons that have an entry or had one recently, and all voters, by entry VM. */
    private Map<String, DaemonEntry> reachableDaemons() {
        Map<String, DaemonEntry> daemons = new HashMap<>(directory.voters().entries());
        daemons.putAll(directory.recentDaemons());
        return daemons;
    }

    /** Returns the newest promotion revision that the sender knows, which has the form of a token if there are eras. */
    private static StoreRevision knownRevision(PrimaryEvidenceRequest request) {
        return request.getStoreEra() == 0
                ? new StoreRevision(0, Math.max(0, request.getTerm()))
                : StoreRevision.ofFencingToken(Math.max(0, request.getTerm()));
    }

    private CompletableFuture<RoundResult> sendRequests(
            PrimaryEvidenceRequest.Builder request, long era, Map<String, DaemonEntry> daemons) {
        PeerEnvelope body = PeerEnvelope.newBuilder()
                .setPrimaryEvidenceRequest(request.setStoreEra(era)
                        .setVotersRevision(numberInEra(directory.voters().knownRevision())))
                .build();
        Map<String, PrimaryEvidence> received = new ConcurrentHashMap<>();
        List<CompletableFuture<?>> answers = new ArrayList<>();
        daemons.forEach((daemon, entry) -> {
            if (!daemon.equals(entryVm)) {
                answers.add(messenger
                        .request(entry.peerAddress(), body, REQUEST_TIMEOUT)
                        .handle((reply, failure) ->
                                reply == null || reply.getPrimaryEvidence().getStoreEra() != era
                                        ? null
                                        : received.put(daemon, reply.getPrimaryEvidence())));
            }
        });
        return CompletableFuture.allOf(answers.toArray(new CompletableFuture<?>[0]))
                .thenApplyAsync(done -> evaluate(era, daemons.keySet(), received), eventLoop);
    }

    /** Counts the answers after learning of newer voters from them. */
    private RoundResult evaluate(long era, Set<String> asked, Map<String, PrimaryEvidence> received) {
        received.values().forEach(evidence -> learnVoters(evidence, era));
        VoteTally votes = new VoteTally(Sets.difference(asked, Set.of(entryVm)).size(), 0, 0);
        Set<String> answered = new HashSet<>(Set.of(entryVm));
        Set<String> recentContact = new HashSet<>(hasRecentContact() ? Set.of(entryVm) : Set.of());
        Set<String> groupsInDoubt = new HashSet<>();
        Set<String> inquirers = new HashSet<>(recentInquirers());
        Map<String, StoreRevision> readRevisions = new HashMap<>(Map.of(entryVm, storeProgress.readRevision()));
        for (Map.Entry<String, PrimaryEvidence> answer : received.entrySet()) {
            PrimaryEvidence evidence = answer.getValue();
            votes = votes.plus(evidence.getPrimaryUnreachable() ? new VoteTally(0, 1, 0) : new VoteTally(0, 0, 1));
            answered.add(answer.getKey());
            if (evidence.getRecentStoreContact()) {
                recentContact.add(answer.getKey());
            }
            groupsInDoubt.addAll(evidence.getDatabasesInDoubtList());
            inquirers.addAll(evidence.getRecentInquirersList());
            readRevisions.put(answer.getKey(), new StoreRevision(era, Math.max(0, evidence.getStoreRevision())));
        }
        // A daemon that started recently does not know of daemons whose entries had ended before.
        Set<String> unresponsive = Sets.difference(Sets.union(asked, inquirers), answered);
        VoterSets sets = directory.voters().sets();
        return new RoundResult(
                votes,
                unresponsive,
                groupsInDoubt,
                inquirers,
                new VotersInForce(sets, directory.storedVotersRevision()),
                sets.mayDecide(answered, directory.voters().departed(clock.nowNanos())),
                sets.isInForce() ? sets.mayRely(answered, recentContact) : mayRelyBeforeVoters(answered),
                readRevisions);
    }

    /**
     * Returns whether a daemon that knows no voters in force may rely on the others: all daemons that it knows have
     * answered, so that none of them can have replaced a primary without saying so.
     */
    private boolean mayRelyBeforeVoters(Set<String> answered) {
        return hasRecentContact()
                && answered.containsAll(directory.recentDaemons().keySet());
    }

    private void learnVoters(PrimaryEvidence evidence, long era) {
        if (evidence.getVotersRevision() > 0) {
            directory.applyVoters(
                    evidence.getVoters().toByteArray(), new StoreRevision(era, evidence.getVotersRevision()));
        }
    }
}
