package org.banyanhook.gateway.primary;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import org.banyanhook.core.primary.PromotionPermission;
import org.banyanhook.core.primary.VoterMaintenance;
import org.banyanhook.core.primary.VoterSets;
import org.banyanhook.core.routing.RendezvousScores;
import org.banyanhook.core.store.StoreRevision;
import org.banyanhook.gateway.fleet.FleetDirectory;
import org.banyanhook.gateway.fleet.RecordedVoters;
import org.banyanhook.gateway.fleet.StoreEras;
import org.banyanhook.gateway.operation.DecisionLog;
import org.banyanhook.gateway.operation.MonotonicClock;
import org.banyanhook.gateway.port.DaemonEntry;
import org.banyanhook.gateway.port.FleetRecord;
import org.banyanhook.gateway.port.FleetRecordCodec;
import org.banyanhook.gateway.port.RecordStore;
import org.banyanhook.gateway.port.StoreLease;
import org.jspecify.annotations.Nullable;

/**
 * Keeps the record of the voters up to date, as {@link VoterMaintenance} decides. Each daemon does so in turn: the
 * first one at once, the others only if the record is still outdated later. Used on the event loop only.
 */
public final class VoterMaintainer {

    /** A daemon's wait for each daemon before it; exceeds the time of a write and of reading it. */
    private static final long RANK_DELAY_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Exceeds the usual time until the watch shows a record that this or another daemon has written. */
    private static final long RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

    /** How long a voter may be without an entry before another one takes its place. */
    private static final long ABSENCE_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(30);

    private static final long KEY_HASH = RendezvousScores.nameHash("voter-maintenance");

    private final String entryVm;
    private final RecordStore store;
    private final FleetRecordCodec recordCodec;
    private final FleetDirectory directory;
    private final StoreEras eras;
    private final PeerVoteExchange voteExchange;
    private final PeerVoteExchange.StoreProgress storeProgress;
    private final UnaryOperator<String> regionOf;
    private final MonotonicClock clock;
    private final DecisionLog log;
    private @Nullable Situation settledIn;
    private boolean outdated;
    private boolean running;
    private long nextAttemptNanos;

    /** What a decision depends on, apart from the answers of the voters. */
    private record Situation(
            long daemonsChangedNanos,
            StoreRevision knownRevision,
            StoreRevision storedRevision,
            Map<String, String> absentVoters) {}

    /**
     * Creates a maintainer.
     *
     * @param entryVm the name of this entry VM
     * @param store stores the record
     * @param recordCodec provides the key and the encoding of the record
     * @param directory provides the known voters and daemons
     * @param eras the eras of the store
     * @param voteExchange asks the voters what they have read
     * @param storeProgress what this daemon has read from the store
     * @param regionOf returns the region of a failure domain
     * @param clock the monotonic clock
     * @param log receives a line for each change
     */
    public VoterMaintainer(
            String entryVm,
            RecordStore store,
            FleetRecordCodec recordCodec,
            FleetDirectory directory,
            StoreEras eras,
            PeerVoteExchange voteExchange,
            PeerVoteExchange.StoreProgress storeProgress,
            UnaryOperator<String> regionOf,
            MonotonicClock clock,
            DecisionLog log) {
        this.entryVm = entryVm;
        this.store = store;
        this.recordCodec = recordCodec;
        this.directory = directory;
        this.eras = eras;
        this.voteExchange = voteExchange;
        this.storeProgress = storeProgress;
        this.regionOf = regionOf;
        this.clock = clock;
        this.log = log;
    }

    /** Changes the record if it is outdated and it is this daemon's turn. Call periodically. */
    public void tick() {
        if (running
                || !eras.mayDecideIn(eras.newest())
                || storeProgress.nanosSinceContact() > PromotionPermission.CONTACT_TIMEOUT_NANOS) {
            return;
        }
        long now = clock.nowNanos();
        Situation situation = situation(now);
        if (situation.equals(settledIn)) {
            return;
        }
        VoterMaintenance.Decision decision = decide(Set.of());
        if (decision.action() == VoterMaintenance.Action.NONE) {
            outdated = false;
            settledIn = VoterMaintenance.isStable(directory.nanosSinceDaemonsChanged()) ? situation : null;
            return;
        }
        if (!outdated) {
            outdated = true;
            nextAttemptNanos = now + rank() * RANK_DELAY_NANOS;
        }
        if (now - nextAttemptNanos < 0) {
            return;
        }
        nextAttemptNanos = now + RETRY_DELAY_NANOS;
        running = true;
        CompletableFuture<Void> done = decision.action() == VoterMaintenance.Action.ASK
                ? askVoters()
                : write(decision, directory.storedVotersRevision());
        done.whenComplete((nothing, failure) -> {
            running = false;
            if (failure != null) {
                log.line("voters")
                        .with("change", "not-written")
                        .with("reason", failure.toString())
                        .write();
            }
        });
    }

    private Situation situation(long now) {
        return new Situation(
                directory.daemonsChangedNanos(),
                directory.voters().knownRevision(),
                directory.storedVotersRevision(),
                directory.voters().absentFor(ABSENCE_LIMIT_NANOS, now));
    }

    /** Asks the voters whether they have read the record of a change, and ends the change if enough of them have. */
    private CompletableFuture<Void> askVoters() {
        StoreRevision revision = directory.voters().knownRevision();
        return voteExchange.queryReplacedPrimaries().thenCompose(round -> {
            if (!directory.voters().knownRevision().equals(revision)) {
                return CompletableFuture.completedFuture(null);
            }
            Set<String> acknowledged = round.readRevisions().entrySet().stream()
                    .filter(read -> !revision.isAfter(read.getValue()))
                    .map(Map.Entry::getKey)
                    .collect(Collectors.toUnmodifiableSet());
            VoterMaintenance.Decision decision = decide(acknowledged);
            return decision.action() == VoterMaintenance.Action.END_CHANGE
                    ? write(decision, revision)
                    : CompletableFuture.completedFuture(null);
        });
    }

    private VoterMaintenance.Decision decide(Set<String> acknowledged) {
        long now = clock.nowNanos();
        RecordedVoters voters = directory.voters();
        boolean lost =
                voters.sets().version() > 0 && !directory.storedVotersRevision().equals(voters.knownRevision());
        Map<String, String> registered = new HashMap<>();
        directory.daemons().forEach((name, entry) -> registered.put(name, entry.failureDomain()));
        return new VoterMaintenance(
                        voters.sets(),
                        lost,
                        registered,
                        voters.absentFor(ABSENCE_LIMIT_NANOS, now),
                        directory.nanosSinceDaemonsChanged(),
                        acknowledged,
                        voters.departed(now))
                .decide(regionOf);
    }

    private CompletableFuture<Void> write(VoterMaintenance.Decision decision, StoreRevision expected) {
        VoterSets sets = decision.sets();
        Map<String, DaemonEntry> entries = new HashMap<>(directory.voters().entries());
        entries.putAll(directory.daemons());
        entries.keySet().retainAll(sets.all());
        return store.put(
                        recordCodec.votersKey(),
                        recordCodec.encode(new FleetRecord.Voters(sets, entries)),
                        Optional.of(expected),
                        StoreLease.NONE)
                .thenAccept(revision -> log.line("voters")
                        .with("change", decision.action().name())
                        .with("version", sets.version())
                        .with("revision", revision.number())
                        .write());
    }

    private int rank() {
        List<String> ranked = directory.daemons().keySet().stream()
                .sorted(Comparator.comparingLong(
                                (String name) -> RendezvousScores.score(KEY_HASH, RendezvousScores.nameHash(name)))
                        .reversed())
                .toList();
        return Math.max(0, ranked.indexOf(entryVm));
    }
}
