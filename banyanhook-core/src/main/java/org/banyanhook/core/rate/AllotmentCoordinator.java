package org.banyanhook.core.rate;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.IntUnaryOperator;
import org.jspecify.annotations.Nullable;

/**
 * Decides what one process holds of its failure domain's rates, and for how long it may use it.
 *
 * <p>Only the holder itself makes its part smaller, and it stops using it first; others take a part back only by
 * {@link AllotmentReclaimer}. A part grows only after the record that says so was seen. Not safe for use by several
 * threads.
 */
public final class AllotmentCoordinator {

    private static final long MINIMUM_RETRY_NANOS = 50_000_000;
    private static final long MAXIMUM_RETRY_NANOS = 5_000_000_000L;
    private static final long SETTLING_NANOS = 1_000_000_000;
    private static final int CONTACTS_PER_PERIOD = 4;
    private static final int MAXIMUM_CONTENDERS = 8;

    private final String entryVm;
    private final long incarnation;
    private final RateTimings timings;
    private final LeaseRenewalTracker witness;
    private final AllotmentReclaimer reclaimer;
    private final int[] ceilings = new int[AllotmentRecord.GROUPS];
    private AllotmentRecord record = AllotmentRecord.EMPTY;
    private long revision = -1;
    private long deadlineNanos;
    private long releasableNanos;
    private long nextContactNanos;
    private long nextReadNanos;
    private long nextSwapNanos;
    private long retryNanos = MINIMUM_RETRY_NANOS;
    private boolean readWanted = true;
    private boolean readOutstanding;
    private boolean swapOutstanding;
    private boolean leaving;
    private IntUnaryOperator holderCounts = group -> AllotmentPlanner.HOLDERS_PER_GROUP;
    private List<Integer> settlingPlan = List.of();
    private long settlingSinceNanos;

    /**
     * Creates the coordinator of a process that holds nothing yet.
     *
     * @param entryVm the name of this entry VM
     * @param incarnation the start time of this process in milliseconds
     * @param timings how long rights last
     * @param nowNanos the time on this entry VM's monotonic clock
     */
    public AllotmentCoordinator(String entryVm, long incarnation, RateTimings timings, long nowNanos) {
        this.entryVm = entryVm;
        this.incarnation = incarnation;
        this.timings = timings;
        this.witness = new LeaseRenewalTracker(nowNanos);
        this.reclaimer = new AllotmentReclaimer(entryVm, incarnation, timings, witness);
        this.deadlineNanos = nowNanos;
        this.nextContactNanos = nowNanos;
        this.nextReadNanos = nowNanos;
        this.nextSwapNanos = nowNanos;
        Arrays.fill(ceilings, AllotmentRecord.UNITS);
    }

    /** Returns the units of a group that this process may use while {@link #mayUse} holds. */
    public int units(int group) {
        return record.entry(entryVm, incarnation)
                .map(entry -> Math.min(entry.units().get(group), ceilings[group]))
                .orElse(0);
    }

    /** Returns when the right to accrue and spend ends unless a two-way contact renews it. */
    public long deadlineNanos() {
        return deadlineNanos;
    }

    /** Returns whether this process may accrue and spend now. */
    public boolean mayUse(long nowNanos) {
        return nowNanos - deadlineNanos < 0;
    }

    /** Returns the record as last read. */
    public AllotmentRecord record() {
        return record;
    }

    /** Returns the revision of the record as last read, negative before the first read. */
    public long revision() {
        return revision;
    }

    /** Returns whether nothing is left to give back. */
    public boolean hasLeft() {
        return leaving && revision >= 0 && record.entry(entryVm, incarnation).isEmpty();
    }

    /** Gives everything back: nothing accrues from now on, and the record follows. */
    public void leave(long nowNanos) {
        leaving = true;
        Arrays.fill(ceilings, 0);
        releasableNanos = nowNanos + timings.lentNanos();
    }

    /** Sets how many holders each group should have, from 1 to {@link AllotmentPlanner#HOLDERS_PER_GROUP}. */
    public void wantHolders(IntUnaryOperator counts) {
        holderCounts = counts;
    }

    /**
     * Takes in an answer of the platform to a read. An older revision than one already seen is ignored.
     *
     * @param newRecord the record, {@link AllotmentRecord#EMPTY} if the value is absent
     * @param newRevision its revision, 0 if the value is absent
     * @param sentNanos when the read was sent
     * @param nowNanos the time on this entry VM's monotonic clock
     */
    public void onRecordRead(AllotmentRecord newRecord, long newRevision, long sentNanos, long nowNanos) {
        readOutstanding = false;
        if (newRevision < revision) {
            return;
        }
        readWanted = false;
        install(newRecord, newRevision, nowNanos);
        renewIfUnmarked(sentNanos);
    }

    /** Takes in that a read was not answered. */
    public void onReadFailed(long nowNanos) {
        readOutstanding = false;
        retryLater(nowNanos);
    }

    /** Takes in that a compare-and-swap took effect. */
    public void onSwapped(AllotmentRecord newRecord, long newRevision, long sentNanos, long nowNanos) {
        swapOutstanding = false;
        retryNanos = MINIMUM_RETRY_NANOS;
        if (newRevision > revision) {
            install(newRecord, newRevision, nowNanos);
            renewIfUnmarked(sentNanos);
        }
    }

    /** Takes in that a compare-and-swap failed or that its answer was lost; the record must be read again. */
    public void onSwapFailed(long nowNanos) {
        swapOutstanding = false;
        readWanted = true;
        retryLater(nowNanos);
    }

    /** Takes in the names of the entry VMs of this failure domain in the platform's list. */
    public void onVirtualMachines(Collection<String> listed, long nowNanos) {
        reclaimer.onVirtualMachines(listed, record, nowNanos);
    }

    /** Takes in that a peer of the failure domain answered a contact, granting it or not. */
    public void onContactAnswered(boolean granted, long sentNanos) {
        if (granted) {
            renewIfUnmarked(sentNanos);
        }
    }

    /** Takes in a witness's answer. */
    public void onWitnessAnswered(String peer, String holder, long holderIncarnation, boolean silent) {
        reclaimer.onWitnessAnswered(peer, holder, holderIncarnation, silent);
    }

    /** Answers a holder that asks whether it may go on. */
    public boolean answerContact(String holder, long holderIncarnation, long nowNanos) {
        return witness.grant(record, holder, holderIncarnation, nowNanos);
    }

    /** Returns for how long a holder was silent, or a negative number if this process cannot witness it. */
    public long answerWitness(String holder, long holderIncarnation, long nowNanos) {
        return witness.silentNanos(record, holder, holderIncarnation, nowNanos);
    }

    /**
     * Lets time pass.
     *
     * @param running the names of the running entry VMs of this failure domain, this one included unless it leaves
     * @param random any number
     * @param nowNanos the time on this entry VM's monotonic clock
     * @return what to send
     */
    public List<AllotmentAction> onTick(Collection<String> running, long random, long nowNanos) {
        List<AllotmentAction> actions = new ArrayList<>();
        keepContact(running, random, nowNanos, actions);
        if (readWanted && !readOutstanding && nowNanos - nextReadNanos >= 0) {
            readOutstanding = true;
            nextReadNanos = nowNanos + timings.contactNanos() / CONTACTS_PER_PERIOD;
            actions.add(new AllotmentAction.ReadRecord());
        }
        if (revision >= 0) {
            actions.addAll(reclaimer.onTick(record, running, random, nowNanos));
            planSwap(running, random, nowNanos).ifPresent(actions::add);
        }
        return actions;
    }

    private void install(AllotmentRecord newRecord, long newRevision, long nowNanos) {
        record = newRecord;
        revision = newRevision;
        for (int group = 0; group < ceilings.length; group++) {
            if (!leaving && record.units(entryVm, group) <= ceilings[group]) {
                ceilings[group] = AllotmentRecord.UNITS;
            }
        }
        witness.retain(record);
        reclaimer.onRecord(record, nowNanos);
    }

    private void renewIfUnmarked(long sentNanos) {
        boolean unmarked = record.entry(entryVm, incarnation)
                .filter(entry -> entry.mark() == null)
                .isPresent();
        if (unmarked) {
            deadlineNanos = Math.max(deadlineNanos, sentNanos + timings.contactNanos());
        }
    }

    private void retryLater(long nowNanos) {
        retryNanos = Math.min(MAXIMUM_RETRY_NANOS, retryNanos * 2);
        nextReadNanos = nowNanos + retryNanos;
        nextSwapNanos = nowNanos + retryNanos;
    }

    private void keepContact(Collection<String> running, long random, long nowNanos, List<AllotmentAction> actions) {
        if (nowNanos - nextContactNanos < 0
                || record.entry(entryVm, incarnation).isEmpty()) {
            return;
        }
        nextContactNanos = nowNanos + timings.contactNanos() / CONTACTS_PER_PERIOD;
        List<String> peers = new ArrayList<>(running);
        peers.remove(entryVm);
        if (!peers.isEmpty()) {
            actions.add(new AllotmentAction.RenewLeaseAtPeer(
                    peers.get((int) Long.remainderUnsigned(random, peers.size()))));
        }
        if (deadlineNanos - nowNanos < timings.contactNanos() / 2) {
            readWanted = true;
        }
    }

    private Optional<AllotmentAction> planSwap(Collection<String> running, long random, long nowNanos) {
        boolean due = !swapOutstanding && !readWanted && nowNanos - nextSwapNanos >= 0;
        int contenders = Math.max(1, Math.min(running.size(), MAXIMUM_CONTENDERS));
        if (!due || Long.remainderUnsigned(random >>> Integer.SIZE, contenders) != 0) {
            return Optional.empty();
        }
        Optional<AllotmentAction.SwapRecord> change =
                planOwnEntry(running, nowNanos).or(() -> reclaimer.planChange(record, revision, running, nowNanos));
        change.ifPresent(swap -> {
            swapOutstanding = true;
            nextSwapNanos = nowNanos + Long.remainderUnsigned(random, MINIMUM_RETRY_NANOS);
        });
        return change.map(swap -> swap);
    }

    private Optional<AllotmentAction.SwapRecord> planOwnEntry(Collection<String> running, long nowNanos) {
        AllotmentEntry entry = record.entry(entryVm).orElse(null);
        if (leaving) {
            return entry != null && entry.isHeldBy(entryVm, incarnation) && nowNanos - releasableNanos >= 0
                    ? swap(record.without(entryVm), "gives its allotment back at shutdown")
                    : Optional.empty();
        }
        if (entry != null && entry.incarnation() != incarnation) {
            return Optional.empty();
        }
        if (entry != null && entry.mark() != null) {
            return swap(record.with(entry.withMark(null)), "still runs, although marked by " + entry.mark());
        }
        return running.contains(entryVm) ? planUnits(entry, running, nowNanos) : Optional.empty();
    }

    private Optional<AllotmentAction.SwapRecord> planUnits(
            @Nullable AllotmentEntry entry, Collection<String> running, long nowNanos) {
        List<Integer> plan = AllotmentPlanner.plan(record, entryVm, running, holderCounts);
        if (!plan.equals(settlingPlan)) {
            settlingPlan = plan;
            settlingSinceNanos = nowNanos;
        }
        if (entry != null && nowNanos - settlingSinceNanos >= SETTLING_NANOS) {
            lowerCeilings(entry, plan, nowNanos);
        }
        AllotmentEntry held = entry == null ? AllotmentEntry.empty(entryVm, incarnation) : entry;
        List<Integer> units = new ArrayList<>();
        for (int group = 0; group < AllotmentRecord.GROUPS; group++) {
            units.add(nextUnits(held.units().get(group), plan.get(group), ceilings[group], nowNanos));
        }
        boolean settled = entry == null || nowNanos - settlingSinceNanos >= SETTLING_NANOS;
        if (units.equals(held.units()) || !settled) {
            return Optional.empty();
        }
        return swap(record.with(held.withUnits(units)), "claims or releases units for " + running.size() + " holders");
    }

    private int nextUnits(int held, int planned, int ceiling, long nowNanos) {
        if (ceiling < held) {
            return nowNanos - releasableNanos >= 0 ? ceiling : held;
        }
        return Math.max(held, planned);
    }

    private void lowerCeilings(AllotmentEntry entry, List<Integer> plan, long nowNanos) {
        for (int group = 0; group < AllotmentRecord.GROUPS; group++) {
            if (plan.get(group) < Math.min(entry.units().get(group), ceilings[group])) {
                ceilings[group] = plan.get(group);
                releasableNanos = nowNanos + timings.lentNanos();
            }
        }
    }

    private Optional<AllotmentAction.SwapRecord> swap(AllotmentRecord newRecord, String reason) {
        return Optional.of(new AllotmentAction.SwapRecord(newRecord, revision, entryVm + " " + reason));
    }
}
