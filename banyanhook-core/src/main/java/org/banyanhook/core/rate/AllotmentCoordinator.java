package org.banyanhook.core.rate;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.IntUnaryOperator;
import org.jspecify.annotations.Nullable;

/**
 * Manages the allotment of one process: the units that it holds of its failure domain's rates, and the lease that
 * permits it to use them.
 *
 * <p>Only the holder reduces its allotment, and it stops using units before it releases them. Other processes remove an
 * allotment only through {@link AllotmentReclaimer}. Additional units are used only once a record that contains them is
 * known. Not safe for use by several threads.
 */
public final class AllotmentCoordinator {

    private static final long MINIMUM_RETRY_DELAY_NANOS = 50_000_000;
    private static final long MAXIMUM_RETRY_DELAY_NANOS = 5_000_000_000L;

    /** A holder carries out a plan only once it has not changed for this long. */
    private static final long PLAN_STABILITY_NANOS = 1_000_000_000;

    private static final int RENEWALS_PER_LEASE = 4;

    /**
     * A process attempts a swap in one of N ticks on average, where N is the number of running entry VMs up to this
     * maximum.
     */
    private static final int MAXIMUM_CONTENDING_WRITERS = 8;

    private final String entryVm;
    private final long incarnation;
    private final RateTimings timings;
    private final LeaseRenewalTracker renewals;
    private final AllotmentReclaimer reclaimer;
    private final int[] unitLimits = new int[AllotmentRecord.GROUP_COUNT];
    private AllotmentRecord record = AllotmentRecord.EMPTY;
    private long revision = -1;
    private long leaseExpiryNanos;
    private long earliestReleaseNanos;
    private long nextRenewalNanos;
    private long nextReadNanos;
    private long nextSwapNanos;
    private long retryDelayNanos = MINIMUM_RETRY_DELAY_NANOS;
    private boolean readNeeded = true;
    private boolean readPending;
    private boolean swapPending;
    private boolean releasing;
    private IntUnaryOperator holderCounts = group -> AllotmentPlanner.MAXIMUM_HOLDERS_PER_GROUP;
    private List<Integer> currentPlan = List.of();
    private long planUnchangedSinceNanos;

    /**
     * Creates the coordinator of a process without an allotment.
     *
     * @param entryVm the name of this entry VM
     * @param incarnation the start time of this process in milliseconds
     * @param timings the durations of the lease and of the delays
     * @param nowNanos the time on this entry VM's monotonic clock
     */
    public AllotmentCoordinator(String entryVm, long incarnation, RateTimings timings, long nowNanos) {
        this.entryVm = entryVm;
        this.incarnation = incarnation;
        this.timings = timings;
        this.renewals = new LeaseRenewalTracker(nowNanos);
        this.reclaimer = new AllotmentReclaimer(entryVm, incarnation, timings, renewals);
        this.leaseExpiryNanos = nowNanos;
        this.nextRenewalNanos = nowNanos;
        this.nextReadNanos = nowNanos;
        this.nextSwapNanos = nowNanos;
        Arrays.fill(unitLimits, AllotmentRecord.UNITS_PER_GROUP);
    }

    /** Returns the units of a group that this process may use while {@link #isLeaseValid its lease is valid}. */
    public int usableUnits(int group) {
        return record.entry(entryVm, incarnation)
                .map(entry -> Math.min(entry.units().get(group), unitLimits[group]))
                .orElse(0);
    }

    /** Returns when the lease to accrue and spend tokens expires unless a two-way contact renews it. */
    public long leaseExpiryNanos() {
        return leaseExpiryNanos;
    }

    /** Returns whether this process may accrue and spend tokens now. */
    public boolean isLeaseValid(long nowNanos) {
        return nowNanos - leaseExpiryNanos < 0;
    }

    /** Returns the latest known allotment record. */
    public AllotmentRecord record() {
        return record;
    }

    /** Returns the revision of the latest known allotment record, negative before the first read. */
    public long revision() {
        return revision;
    }

    /** Returns whether the whole allotment has been released after {@link #releaseAll}. */
    public boolean isReleased() {
        return releasing && revision >= 0 && record.entry(entryVm, incarnation).isEmpty();
    }

    /**
     * Starts to release the whole allotment. No units are usable from now on; the entry is removed from the record once
     * the reservations of lent tokens have ended.
     */
    public void releaseAll(long nowNanos) {
        releasing = true;
        Arrays.fill(unitLimits, 0);
        earliestReleaseNanos = nowNanos + timings.lentReservationNanos();
    }

    /** Sets the number of holders of each group, from 1 to {@link AllotmentPlanner#MAXIMUM_HOLDERS_PER_GROUP}. */
    public void setHolderCounts(IntUnaryOperator counts) {
        holderCounts = counts;
    }

    /**
     * Handles the platform's answer to a read. A revision older than the known one is ignored.
     *
     * @param newRecord the record, {@link AllotmentRecord#EMPTY} if the value is absent
     * @param newRevision its revision, 0 if the value is absent
     * @param sentNanos when the read was sent
     * @param nowNanos the time on this entry VM's monotonic clock
     */
    public void onRecordRead(AllotmentRecord newRecord, long newRevision, long sentNanos, long nowNanos) {
        readPending = false;
        if (newRevision < revision) {
            return;
        }
        readNeeded = false;
        applyRecord(newRecord, newRevision, nowNanos);
        renewLeaseIfUnmarked(sentNanos);
    }

    /** Handles a read that failed or was not answered. */
    public void onReadFailed(long nowNanos) {
        readPending = false;
        backOff(nowNanos);
    }

    /** Handles a compare-and-swap that succeeded. */
    public void onSwapped(AllotmentRecord newRecord, long newRevision, long sentNanos, long nowNanos) {
        swapPending = false;
        retryDelayNanos = MINIMUM_RETRY_DELAY_NANOS;
        if (newRevision > revision) {
            applyRecord(newRecord, newRevision, nowNanos);
            renewLeaseIfUnmarked(sentNanos);
        }
    }

    /** Handles a compare-and-swap that failed or whose answer was lost; the record has to be read again. */
    public void onSwapFailed(long nowNanos) {
        swapPending = false;
        readNeeded = true;
        backOff(nowNanos);
    }

    /** Handles the platform's list: the names of the entry VMs in this failure domain. */
    public void onVirtualMachinesRead(Collection<String> listed, long nowNanos) {
        reclaimer.onVirtualMachinesRead(listed, record, nowNanos);
    }

    /** Handles a peer's answer to a request to renew the lease. */
    public void onRenewalAnswered(boolean granted, long sentNanos) {
        if (granted) {
            renewLeaseIfUnmarked(sentNanos);
        }
    }

    /** Handles a peer's answer to a reclaim query. */
    public void onReclaimQueryAnswered(String peer, String holder, long holderIncarnation, boolean confirmed) {
        reclaimer.onReclaimQueryAnswered(peer, holder, holderIncarnation, confirmed);
    }

    /** Answers a holder's request to renew its lease: returns whether it is renewed. */
    public boolean answerRenewal(String holder, long holderIncarnation, long nowNanos) {
        return renewals.tryRenew(record, holder, holderIncarnation, nowNanos);
    }

    /**
     * Answers a reclaim query: returns the nanoseconds since this process last renewed the holder's lease, or a
     * negative number if it cannot confirm that time.
     */
    public long answerReclaimQuery(String holder, long holderIncarnation, long nowNanos) {
        return renewals.nanosSinceLastRenewal(record, holder, holderIncarnation, nowNanos);
    }

    /**
     * Advances the time and returns the actions that are due.
     *
     * @param running the names of the running entry VMs of this failure domain, this one included unless it leaves
     * @param random a random number
     * @param nowNanos the time on this entry VM's monotonic clock
     * @return the requests to send
     */
    public List<AllotmentAction> onTick(Collection<String> running, long random, long nowNanos) {
        List<AllotmentAction> actions = new ArrayList<>();
        requestLeaseRenewal(running, random, nowNanos, actions);
        if (readNeeded && !readPending && nowNanos - nextReadNanos >= 0) {
            readPending = true;
            nextReadNanos = nowNanos + timings.leaseNanos() / RENEWALS_PER_LEASE;
            actions.add(new AllotmentAction.ReadRecord());
        }
        if (revision >= 0) {
            actions.addAll(reclaimer.onTick(record, running, random, nowNanos));
            planSwap(running, random, nowNanos).ifPresent(actions::add);
        }
        return actions;
    }

    private void applyRecord(AllotmentRecord newRecord, long newRevision, long nowNanos) {
        record = newRecord;
        revision = newRevision;
        for (int group = 0; group < unitLimits.length; group++) {
            if (!releasing && record.units(entryVm, group) <= unitLimits[group]) {
                unitLimits[group] = AllotmentRecord.UNITS_PER_GROUP;
            }
        }
        renewals.retain(record);
        reclaimer.onRecord(record, nowNanos);
    }

    private void renewLeaseIfUnmarked(long sentNanos) {
        boolean unmarked = record.entry(entryVm, incarnation)
                .filter(entry -> entry.mark() == null)
                .isPresent();
        if (unmarked) {
            leaseExpiryNanos = Math.max(leaseExpiryNanos, sentNanos + timings.leaseNanos());
        }
    }

    private void backOff(long nowNanos) {
        retryDelayNanos = Math.min(MAXIMUM_RETRY_DELAY_NANOS, retryDelayNanos * 2);
        nextReadNanos = nowNanos + retryDelayNanos;
        nextSwapNanos = nowNanos + retryDelayNanos;
    }

    private void requestLeaseRenewal(
            Collection<String> running, long random, long nowNanos, List<AllotmentAction> actions) {
        if (nowNanos - nextRenewalNanos < 0
                || record.entry(entryVm, incarnation).isEmpty()) {
            return;
        }
        nextRenewalNanos = nowNanos + timings.leaseNanos() / RENEWALS_PER_LEASE;
        List<String> peers = new ArrayList<>(running);
        peers.remove(entryVm);
        if (!peers.isEmpty()) {
            actions.add(new AllotmentAction.RenewLeaseAtPeer(
                    peers.get((int) Long.remainderUnsigned(random, peers.size()))));
        }
        // Only the platform renews the lease of a process without peers. If it were renewed at half of its length, a
        // quarter could be left when the platform fails.
        if (peers.isEmpty() || leaseExpiryNanos - nowNanos < timings.leaseNanos() / 2) {
            readNeeded = true;
        }
    }

    private Optional<AllotmentAction> planSwap(Collection<String> running, long random, long nowNanos) {
        boolean due = !swapPending && !readNeeded && nowNanos - nextSwapNanos >= 0;
        int contenders = Math.max(1, Math.min(running.size(), MAXIMUM_CONTENDING_WRITERS));
        if (!due || Long.remainderUnsigned(random >>> Integer.SIZE, contenders) != 0) {
            return Optional.empty();
        }
        Optional<AllotmentAction.SwapRecord> change =
                planOwnEntry(running, nowNanos).or(() -> reclaimer.planChange(record, revision, running, nowNanos));
        change.ifPresent(swap -> {
            swapPending = true;
            nextSwapNanos = nowNanos + Long.remainderUnsigned(random, MINIMUM_RETRY_DELAY_NANOS);
        });
        return change.map(swap -> swap);
    }

    private Optional<AllotmentAction.SwapRecord> planOwnEntry(Collection<String> running, long nowNanos) {
        AllotmentEntry entry = record.entry(entryVm).orElse(null);
        if (releasing) {
            return entry != null && entry.isHeldBy(entryVm, incarnation) && nowNanos - earliestReleaseNanos >= 0
                    ? swap(record.without(entryVm), "releases its allotment at shutdown")
                    : Optional.empty();
        }
        if (entry != null && entry.incarnation() != incarnation) {
            return Optional.empty();
        }
        if (entry != null && entry.mark() != null) {
            return swap(record.with(entry.withMark(null)), "is still running and removes the mark " + entry.mark());
        }
        return running.contains(entryVm) ? planUnits(entry, running, nowNanos) : Optional.empty();
    }

    private Optional<AllotmentAction.SwapRecord> planUnits(
            @Nullable AllotmentEntry entry, Collection<String> running, long nowNanos) {
        List<Integer> plan = AllotmentPlanner.plan(record, entryVm, running, holderCounts);
        if (!plan.equals(currentPlan)) {
            currentPlan = plan;
            planUnchangedSinceNanos = nowNanos;
        }
        if (entry != null && nowNanos - planUnchangedSinceNanos >= PLAN_STABILITY_NANOS) {
            lowerUnitLimits(entry, plan, nowNanos);
        }
        AllotmentEntry held = entry == null ? AllotmentEntry.empty(entryVm, incarnation) : entry;
        List<Integer> units = new ArrayList<>();
        for (int group = 0; group < AllotmentRecord.GROUP_COUNT; group++) {
            units.add(nextUnits(held.units().get(group), plan.get(group), unitLimits[group], nowNanos));
        }
        boolean stable = entry == null || nowNanos - planUnchangedSinceNanos >= PLAN_STABILITY_NANOS;
        if (units.equals(held.units()) || !stable) {
            return Optional.empty();
        }
        return swap(record.with(held.withUnits(units)), "claims or releases units for " + running.size() + " holders");
    }

    private int nextUnits(int held, int planned, int limit, long nowNanos) {
        if (limit < held) {
            return nowNanos - earliestReleaseNanos >= 0 ? limit : held;
        }
        return Math.max(held, planned);
    }

    private void lowerUnitLimits(AllotmentEntry entry, List<Integer> plan, long nowNanos) {
        for (int group = 0; group < AllotmentRecord.GROUP_COUNT; group++) {
            if (plan.get(group) < Math.min(entry.units().get(group), unitLimits[group])) {
                unitLimits[group] = plan.get(group);
                earliestReleaseNanos = nowNanos + timings.lentReservationNanos();
            }
        }
    }

    private Optional<AllotmentAction.SwapRecord> swap(AllotmentRecord newRecord, String reason) {
        return Optional.of(new AllotmentAction.SwapRecord(newRecord, revision, entryVm + " " + reason));
    }
}
