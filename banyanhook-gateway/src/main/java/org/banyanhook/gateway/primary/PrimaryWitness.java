package org.banyanhook.gateway.primary;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.banyanhook.core.primary.GrantedVotes;
import org.banyanhook.gateway.backend.DatabaseGroup;
import org.banyanhook.gateway.backend.DatabaseGroups;
import org.banyanhook.gateway.backend.MemberProbe;
import org.banyanhook.gateway.backend.MemberServer;
import org.banyanhook.gateway.fleet.FleetDirectory;
import org.banyanhook.gateway.message.MemberCommand;
import org.banyanhook.gateway.operation.MonotonicClock;

/**
 * Answers other daemons that ask whether this one reaches a primary, and remembers to which replacements it agreed.
 * Used on the event loop only.
 */
public final class PrimaryWitness implements PeerEvidence.Witness {

    /** A primary that answered this recently is reached. */
    private static final long RECENT_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private final DatabaseGroups groups;
    private final FleetDirectory directory;
    private final MemberProbe probe;
    private final LongSupplier storeContactNanos;
    private final BooleanSupplier storeRead;
    private final MonotonicClock clock;
    private final GrantedVotes grants = new GrantedVotes();

    /**
     * Creates a witness that has agreed to nothing.
     *
     * @param groups the database groups
     * @param directory tells the promotions on record
     * @param probe asks the members
     * @param storeContactNanos tells when the last call was sent that the store answered
     * @param storeRead tells whether this daemon has read all records since it started
     * @param clock the monotonic clock
     */
    public PrimaryWitness(
            DatabaseGroups groups,
            FleetDirectory directory,
            MemberProbe probe,
            LongSupplier storeContactNanos,
            BooleanSupplier storeRead,
            MonotonicClock clock) {
        this.groups = groups;
        this.directory = directory;
        this.probe = probe;
        this.storeContactNanos = storeContactNanos;
        this.storeRead = storeRead;
        this.clock = clock;
    }

    @Override
    public CompletableFuture<Long> unreachableNanos(String groupName, boolean planned) {
        DatabaseGroup group = groups.group(groupName);
        if (planned) {
            // The old primary refuses work itself from the moment that it steps down.
            agree(groupName);
            return CompletableFuture.completedFuture(0L);
        }
        MemberServer primary = group.primary().orElse(null);
        long now = clock.nowNanos();
        if (primary == null) {
            return CompletableFuture.completedFuture(stopUsing(group, 0));
        }
        if (primary.failedWithin(RECENT_NANOS, now)) {
            return CompletableFuture.completedFuture(stopUsing(group, primary.failingNanos(now)));
        }
        if (primary.silentNanos(now) < RECENT_NANOS) {
            return CompletableFuture.completedFuture(-1L);
        }
        return answers(primary).thenApply(answered -> answered ? -1L : stopUsing(group, 0));
    }

    /**
     * Tells whether a member answers now; what is known from a while ago may no longer hold.
     *
     * @param member the member
     * @return true if it does; never fails
     */
    CompletableFuture<Boolean> answers(MemberServer member) {
        // A refused connection is an answer, too.
        return probe.send(member, new MemberCommand.Status())
                .thenApply(report -> report.isPresent() || member.silentNanos(clock.nowNanos()) < RECENT_NANOS);
    }

    @Override
    public Set<String> groupsInDoubt(long knownPromotion) {
        Set<String> doubted = new HashSet<>(directory.promotedSince(knownPromotion));
        doubted.addAll(agreedTo());
        return doubted;
    }

    @Override
    public boolean mayVouch() {
        return storeRead.getAsBoolean();
    }

    /**
     * Notes that this daemon agrees to the replacement of a primary.
     *
     * @param group the database group
     */
    void agree(String group) {
        grants.recordVote(group, directory.promotionRevision(group), clock.nowNanos());
    }

    /** Returns the groups to whose replacement this daemon agreed without knowing what came of it. */
    public Set<String> agreedTo() {
        return grants.groupsInDoubt(directory::promotionRevision, storeContactNanos.getAsLong());
    }

    private long stopUsing(DatabaseGroup group, long failingNanos) {
        agree(group.name());
        group.hold(clock.nowNanos() + PromotionSteps.PROMOTION_NANOS);
        group.dropPrimary("agreed to its replacement");
        return failingNanos;
    }
}
