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
import org.banyanhook.gateway.operation.DecisionLog;
import org.banyanhook.gateway.operation.MonotonicClock;

/**
 * Replaces primaries that failed, that leave, or whose failure domain was taken out. Every daemon watches; the one that
 * rendezvous hashing ranks first acts first, and the promotion duty in the store keeps two from acting at once. Used on
 * the event loop only.
 */
public final class PromotionController {

    /** A primary that could not be reached for this long is taken for failed; longer than a few lost packets. */
    static final long FAILED_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** A group may be without a primary for this long while entries of its members arrive. */
    private static final long ABSENT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);

    /** A daemon of a lower rank waits this much longer for each rank. */
    private static final long RANK_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** The pause after an attempt that came to nothing. */
    private static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    private final String entryVm;
    private final DatabaseGroups groups;
    private final FleetDirectory directory;
    private final PromotionSteps steps;
    private final PrimaryWitness witness;
    private final EventLoop eventLoop;
    private final MonotonicClock clock;
    private final DecisionLog log;
    private final Map<String, Watch> watches = new HashMap<>();

    /** Why a primary is to be replaced. */
    enum Reason {
        UNREACHABLE,
        ABSENT,
        LEAVING,
        TAKEN_OUT;

        boolean planned() {
            return this == LEAVING || this == TAKEN_OUT;
        }
    }

    private static final class Watch {
        private Optional<Reason> reason = Optional.empty();
        private long sinceNanos;
        private long nextAttemptNanos;
        private boolean running;
        private final Set<String> rejected = new HashSet<>();
    }

    /**
     * Creates a controller.
     *
     * @param entryVm the name of this entry VM
     * @param groups the database groups
     * @param directory tells the daemons and what operators have taken out
     * @param steps carries a promotion out
     * @param witness asks a primary once more
     * @param eventLoop where everything runs
     * @param clock the monotonic clock
     * @param log receives a line for each decision
     */
    public PromotionController(
            String entryVm,
            DatabaseGroups groups,
            FleetDirectory directory,
            PromotionSteps steps,
            PrimaryWitness witness,
            EventLoop eventLoop,
            MonotonicClock clock,
            DecisionLog log) {
        this.entryVm = entryVm;
        this.groups = groups;
        this.directory = directory;
        this.steps = steps;
        this.witness = witness;
        this.eventLoop = eventLoop;
        this.clock = clock;
        this.log = log;
    }

    /** Looks at every group and acts where a primary has to be replaced. */
    public void tick() {
        long now = clock.nowNanos();
        for (DatabaseGroup group : ImmutableList.copyOf(groups.all())) {
            examine(group, watches.computeIfAbsent(group.name(), name -> new Watch()), now);
        }
    }

    private void examine(DatabaseGroup group, Watch watch, long now) {
        Optional<Reason> reason = reason(group, now);
        if (!reason.equals(watch.reason)) {
            watch.reason = reason;
            watch.sinceNanos = now;
            watch.nextAttemptNanos = now + rank(group.name()) * RANK_DELAY_NANOS;
            watch.rejected.clear();
            reason.ifPresent(found -> log.line("primary-suspicion")
                    .with("group", group.name())
                    .with("reason", found.name())
                    .with("member", group.primary().map(MemberServer::name).orElse(null))
                    .write());
        }
        if (reason.isEmpty() || watch.running || now - watch.nextAttemptNanos < 0) {
            return;
        }
        if (reason.get() == Reason.ABSENT && now - watch.sinceNanos < ABSENT_NANOS) {
            return;
        }
        watch.running = true;
        isConfirmed(group, reason.get())
                .thenCompose(confirmed -> confirmed
                        ? steps.replace(group, reason.get(), watch.rejected)
                        : CompletableFuture.completedFuture("the primary answers"))
                .whenCompleteAsync(
                        (outcome, failure) -> {
                            watch.running = false;
                            watch.nextAttemptNanos = clock.nowNanos() + RETRY_NANOS;
                            log.line("promotion")
                                    .with("group", group.name())
                                    .with("reason", reason.get().name())
                                    .with("outcome", failure == null ? outcome : String.valueOf(failure))
                                    .write();
                        },
                        eventLoop);
    }

    /**
     * Asks once more before the others are: a primary that could not be reached may have been cut off only from before
     * it led, and one that was promoted names its term only with its first commit.
     */
    private CompletableFuture<Boolean> isConfirmed(DatabaseGroup group, Reason reason) {
        MemberServer primary = group.primary().orElse(null);
        if (reason == Reason.UNREACHABLE && primary != null) {
            return witness.answers(primary).thenApply(answered -> !answered);
        }
        if (reason != Reason.ABSENT) {
            return CompletableFuture.completedFuture(true);
        }
        List<CompletableFuture<Boolean>> answers = group.servers().stream()
                .filter(server -> server.primarySinceRevision() > 0)
                .map(witness::answers)
                .toList();
        return CompletableFuture.allOf(answers.toArray(new CompletableFuture<?>[0]))
                .thenApply(done -> group.lookForPrimary().isEmpty());
    }

    private Optional<Reason> reason(DatabaseGroup group, long now) {
        if (group.servers().isEmpty()) {
            return Optional.empty();
        }
        MemberServer primary = group.primary().orElse(null);
        if (primary == null) {
            return Optional.of(Reason.ABSENT);
        }
        if (directory.isEvacuated(primary.entry().failureDomain())) {
            return Optional.of(Reason.TAKEN_OUT);
        }
        if (primary.entry().leaving()) {
            return Optional.of(Reason.LEAVING);
        }
        return primary.failingNanos(now) >= FAILED_NANOS ? Optional.of(Reason.UNREACHABLE) : Optional.empty();
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
