package org.banyanhook.gateway.primary;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.banyanhook.core.primary.GrantedVotes;
import org.banyanhook.core.store.StoreRevision;
import org.banyanhook.gateway.backend.DatabaseGroup;
import org.banyanhook.gateway.backend.DatabaseGroups;
import org.banyanhook.gateway.backend.MemberProbe;
import org.banyanhook.gateway.backend.MemberServer;
import org.banyanhook.gateway.fleet.FleetDirectory;
import org.banyanhook.gateway.message.MemberCommand;
import org.banyanhook.gateway.operation.MonotonicClock;
import org.banyanhook.gateway.port.FleetRecord;

/**
 * Votes on the replacement of primaries when other daemons request it, and keeps the votes that it granted. Used on the
 * event loop only.
 */
public final class PromotionVoter implements PeerVoteExchange.Voter {

    /** A failure or an answer of the primary within this time decides the vote without a probe. */
    private static final long RECENT_CONTACT_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private final DatabaseGroups groups;
    private final FleetDirectory directory;
    private final MemberProbe probe;
    private final LongSupplier lastStoreContactNanos;
    private final BooleanSupplier storeRead;
    private final MonotonicClock clock;
    private final GrantedVotes grantedVotes = new GrantedVotes();

    /**
     * Creates a voter that has granted no vote.
     *
     * @param groups the database groups
     * @param directory provides the recorded promotions
     * @param probe sends commands to members
     * @param lastStoreContactNanos returns when the last call was sent that the store answered
     * @param storeRead returns whether this daemon has read all records since it started
     * @param clock the monotonic clock
     */
    public PromotionVoter(
            DatabaseGroups groups,
            FleetDirectory directory,
            MemberProbe probe,
            LongSupplier lastStoreContactNanos,
            BooleanSupplier storeRead,
            MonotonicClock clock) {
        this.groups = groups;
        this.directory = directory;
        this.probe = probe;
        this.lastStoreContactNanos = lastStoreContactNanos;
        this.storeRead = storeRead;
        this.clock = clock;
    }

    @Override
    public CompletableFuture<Long> voteOnReplacement(String groupName, boolean planned) {
        DatabaseGroup group = groups.group(groupName);
        if (planned) {
            // The old primary stays in use until the promotion is recorded; once it has stepped down it rejects writes.
            grantVote(groupName);
            return CompletableFuture.completedFuture(0L);
        }
        MemberServer primary = group.primary().orElse(null);
        long now = clock.nowNanos();
        if (primary == null) {
            return CompletableFuture.completedFuture(stopUsingPrimary(group, 0));
        }
        if (primary.failedWithin(RECENT_CONTACT_NANOS, now)) {
            return CompletableFuture.completedFuture(stopUsingPrimary(group, primary.unreachableNanos(now)));
        }
        if (primary.nanosSinceLastAnswer(now) < RECENT_CONTACT_NANOS) {
            return CompletableFuture.completedFuture(-1L);
        }
        return isResponding(group, primary).thenApply(answered -> answered ? -1L : stopUsingPrimary(group, 0));
    }

    @Override
    public void learnPromotion(FleetRecord.Promotion promotion, StoreRevision revision) {
        directory.applyPromotion(promotion, revision);
        // The answer states that this daemon has stopped using the old primary, whether or not the update succeeded.
        groups.group(promotion.group()).endWorkAtFormerPrimaries();
    }

    /**
     * Checks with a probe whether a member responds now, because the recorded state may be outdated.
     *
     * @param group the group of the member
     * @param member the member
     * @return whether it responds; never fails
     */
    CompletableFuture<Boolean> isResponding(DatabaseGroup group, MemberServer member) {
        long sentNanos = clock.nowNanos();
        // An answer that refuses the connection counts as a response as well.
        return probe.send(member, new MemberCommand.Status()).thenApply(report -> {
            report.ifPresent(found -> group.onReport(member, found, sentNanos));
            return report.isPresent() || member.nanosSinceLastAnswer(clock.nowNanos()) < RECENT_CONTACT_NANOS;
        });
    }

    @Override
    public Set<String> groupsInDoubt(StoreRevision knownRevision) {
        Set<String> inDoubt = new HashSet<>(directory.groupsPromotedSince(knownRevision));
        inDoubt.addAll(groupsWithUnresolvedVotes());
        return inDoubt;
    }

    @Override
    public boolean hasReadStore() {
        return storeRead.getAsBoolean();
    }

    /**
     * Records that this daemon votes for the replacement of a primary.
     *
     * @param group the database group
     */
    void grantVote(String group) {
        grantedVotes.recordVote(group, directory.promotionRevision(group), clock.nowNanos());
    }

    /** Returns the groups for which this daemon granted a vote whose outcome is not known yet. */
    public Set<String> groupsWithUnresolvedVotes() {
        return grantedVotes.groupsInDoubt(directory::promotionRevision, lastStoreContactNanos.getAsLong());
    }

    private long stopUsingPrimary(DatabaseGroup group, long unreachableNanos) {
        grantVote(group.name());
        group.pausePrimary(clock.nowNanos() + PromotionWorkflow.PROMOTION_TIMEOUT_NANOS);
        group.stopUsingPrimary("voted for the replacement of the primary");
        return unreachableNanos;
    }
}
