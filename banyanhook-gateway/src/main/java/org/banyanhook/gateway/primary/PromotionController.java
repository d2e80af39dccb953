package org.banyanhook.gateway.primary;

import com.google.common.collect.ImmutableList;
import io.netty.channel.EventLoop;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.banyanhook.core.routing.RendezvousScores;
import org.banyanhook.gateway.backend.DatabaseGroup;
import org.banyanhook.gateway.backend.DatabaseGroups;
import org.banyanhook.gateway.backend.MemberServer;
import org.banyanhook.gateway.fleet.FleetDirectory;
import org.banyanhook.gateway.fleet.FleetListener;
import org.banyanhook.gateway.operation.DecisionLog;
import org.banyanhook.gateway.operation.MonotonicClock;

/**
 * Replaces primaries that failed, that are leaving, or whose failure domain was taken out. Every daemon monitors all
 * groups. The one that rendezvous hashing ranks first acts first, and the promotion lease in the store prevents two
 * daemons from acting at the same time. Used on the event loop only.
 */
public final class PromotionController implements FleetListener {

    /** How long a primary must be unreachable to be considered failed; longer than the loss of a few packets. */
    static final long FAILURE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** How long a group may have no primary before a promotion starts; entries of its members may still arrive. */
    private static final long ABSENCE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);

    /** How much longer a daemon waits for each daemon that ranks before it. */
    private static final long RANK_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** How often it is checked whether the others have caught up after a member has departed. */
    private static final long DEPARTURE_CHECK_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** How many daemons check a group after a departure; the first ones to act if its primary fails. */
    private static final int DEPARTURE_CHECKERS = 3;

    /** The delay between an attempt and the next one. */
    private static final long RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    private final String entryVm;
    private final DatabaseGroups groups;
    private final FleetDirectory directory;
    private final PromotionWorkflow workflow;
    private final PromotionVoter voter;
    private final EventLoop eventLoop;
    private final MonotonicClock clock;
    private final DecisionLog log;
    private final Map<String, GroupState> groupStates = new HashMap<>();
    private boolean stopping;

    /** Why a primary has to be replaced. */
    enum Reason {
        UNREACHABLE,
        ABSENT,
        LEAVING,
        TAKEN_OUT;

        boolean planned() {
            return this == LEAVING || this == TAKEN_OUT;
        }
    }

    private static final class GroupState {
        private Optional<Reason> reason = Optional.empty();
        private long reasonSinceNanos;
        private long nextAttemptNanos;
        private long nextDepartureCheckNanos;
        private boolean running;
        private final Set<String> rejected = new HashSet<>();

        private GroupState(long nowNanos) {
            this.nextDepartureCheckNanos = nowNanos;
        }
    }

    /**
     * Creates a controller.
     *
     * @param entryVm the name of this entry VM
     * @param groups the database groups
     * @param directory provides the daemons and the failure domains that operators have taken out
     * @param workflow performs a promotion
     * @param voter probes a primary again before it is replaced
     * @param eventLoop the event loop on which everything runs
     * @param clock the monotonic clock
     * @param log receives a line for each decision
     */
    public PromotionController(
            String entryVm,
            DatabaseGroups groups,
            FleetDirectory directory,
            PromotionWorkflow workflow,
            PromotionVoter voter,
            EventLoop eventLoop,
            MonotonicClock clock,
            DecisionLog log) {
        this.entryVm = entryVm;
        this.groups = groups;
        this.directory = directory;
        this.workflow = workflow;
        this.voter = voter;
        this.eventLoop = eventLoop;
        this.clock = clock;
        this.log = log;
    }

    /** Starts no replacement from now on, since it could not be completed before the process ends. */
    public void stop() {
        stopping = true;
    }

    /** Returns whether a replacement has been started that has not ended. */
    public boolean isReplacing() {
        return groupStates.values().stream().anyMatch(state -> state.running);
    }

    /** Checks every group and starts a replacement where one is due. */
    public void tick() {
        long now = clock.nowNanos();
        ImmutableList.copyOf(groups.all()).forEach(group -> evaluate(group, now));
    }

    /**
     * Starts the replacement of primaries that are leaving or taken out at once, since they get no new work. The other
     * reasons depend on time and are found by {@link #tick()}.
     */
    @Override
    public void onFleetChange() {
        for (DatabaseGroup group : groups.all()) {
            if (findPlannedReason(group).isPresent()) {
                eventLoop.execute(() -> evaluate(group, clock.nowNanos()));
            }
        }
    }

    private void evaluate(DatabaseGroup group, long now) {
        GroupState state = groupStates.computeIfAbsent(group.name(), name -> new GroupState(now));
        workflow.observePrimary(group);
        checkDepartures(group, state, now);
        Optional<Reason> reason = findReason(group, now);
        if (!reason.equals(state.reason)) {
            state.reason = reason;
            state.reasonSinceNanos = now;
            state.nextAttemptNanos = now + rank(group.name()) * RANK_DELAY_NANOS;
            state.rejected.clear();
            reason.ifPresent(found -> log.line("primary-suspicion")
                    .with("group", group.name())
                    .with("reason", found.name())
                    .with("member", group.primary().map(MemberServer::name).orElse(null))
                    .write());
        }
        if (stopping || reason.isEmpty() || state.running || now - state.nextAttemptNanos < 0) {
            return;
        }
        if (reason.get() == Reason.ABSENT && now - state.reasonSinceNanos < ABSENCE_TIMEOUT_NANOS) {
            return;
        }
        state.running = true;
        // An exception while the replacement is started has to end it, too.
        CompletableFuture.completedFuture(reason.get())
                .thenCompose(found -> confirmReason(group, found))
                .thenCompose(confirmed -> confirmed
                        ? workflow.replace(group, reason.get(), state.rejected)
                        : CompletableFuture.completedFuture("not replaced: the primary answers"))
                .whenCompleteAsync(
                        (outcome, failure) -> {
                            state.running = false;
                            state.nextAttemptNanos = clock.nowNanos() + RETRY_DELAY_NANOS;
                            log.line("promotion")
                                    .with("group", group.name())
                                    .with("reason", reason.get().name())
                                    .with("outcome", failure == null ? outcome : String.valueOf(failure))
                                    .write();
                        },
                        eventLoop);
    }

    /**
     * Asks the departed members, the primary and then the other members for their positions while one is missed.
     * Traffic need not reach this daemon, and a failed primary could not be asked any more.
     */
    private void checkDepartures(DatabaseGroup group, GroupState state, long now) {
        MemberServer primary = group.primary().orElse(null);
        if (primary == null
                || group.synchronousReplicas() == 0
                || !group.commitHolders().hasDepartures()
                || now - state.nextDepartureCheckNanos < 0
                || rank(group.name()) >= DEPARTURE_CHECKERS) {
            return;
        }
        state.nextDepartureCheckNanos = now + DEPARTURE_CHECK_INTERVAL_NANOS;
        workflow.checkDeparted(group);
        var unused = voter.isResponding(group, primary)
                .thenAccept(answered -> List.copyOf(group.servers()).stream()
                        .filter(server -> server != primary)
                        .forEach(server -> voter.isResponding(group, server)));
    }

    /**
     * Probes the primary again before the other daemons are asked to vote. The failures on record may date from before
     * the member became primary, and a promoted member reports its new term only with its first commit.
     */
    private CompletableFuture<Boolean> confirmReason(DatabaseGroup group, Reason reason) {
        MemberServer primary = group.primary().orElse(null);
        if (reason == Reason.UNREACHABLE && primary != null) {
            return voter.isResponding(group, primary).thenApply(answered -> !answered);
        }
        if (reason != Reason.ABSENT) {
            return CompletableFuture.completedFuture(true);
        }
        List<CompletableFuture<Boolean>> answers = group.servers().stream()
                .filter(MemberServer::reportsPrimary)
                .map(server -> voter.isResponding(group, server))
                .toList();
        return CompletableFuture.allOf(answers.toArray(new CompletableFuture<?>[0]))
                .thenApply(done -> group.refreshPrimary().isEmpty());
    }

    private Optional<Reason> findReason(DatabaseGroup group, long now) {
        if (group.servers().isEmpty()) {
            return Optional.empty();
        }
        MemberServer primary = group.primary().orElse(null);
        if (primary == null) {
            return Optional.of(Reason.ABSENT);
        }
        Optional<Reason> unreachable = primary.unreachableNanos(now) >= FAILURE_TIMEOUT_NANOS
                ? Optional.of(Reason.UNREACHABLE)
                : Optional.empty();
        return findPlannedReason(group).or(() -> unreachable);
    }

    private Optional<Reason> findPlannedReason(DatabaseGroup group) {
        return group.primary().map(MemberServer::entry).flatMap(primary -> {
            if (directory.isEvacuated(primary.failureDomain())) {
                return Optional.of(Reason.TAKEN_OUT);
            }
            return primary.leaving() ? Optional.of(Reason.LEAVING) : Optional.empty();
        });
    }

    private int rank(String groupName) {
        long groupHash = RendezvousScores.nameHash(groupName);
        List<String> ranked = directory.daemons().keySet().stream()
                .sorted(Comparator.comparingLong(
                                (String vm) -> RendezvousScores.score(groupHash, RendezvousScores.nameHash(vm)))
                        .reversed())
                .toList();
        return Math.max(0, ranked.indexOf(entryVm));
    }
}
