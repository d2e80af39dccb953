package org.banyanhook.core.rate;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/**
 * Reclaims the allotments of holders that no longer run.
 *
 * <p>A holder that is missing from the platform's list is marked in the record; a holder that still runs removes the
 * mark. Once the mark has remained for the reclaim delay, every other entry VM of the failure domain that may be
 * running has to confirm that it has not renewed the holder's lease for at least that delay. Only then is the entry
 * removed, by a compare-and-swap against the record that contains the same mark. Not safe for use by several threads.
 */
final class AllotmentReclaimer {

    private static final long QUERY_INTERVAL_NANOS = 2_000_000_000;
    private static final long LIST_INTERVAL_NANOS = 5_000_000_000L;

    /** A process marks other holders in one of this many ticks, chosen at random. */
    private static final int TICKS_PER_MARK_ATTEMPT = 10;

    private final String entryVm;
    private final long incarnation;
    private final RateTimings timings;
    private final LeaseRenewalTracker renewals;
    private final Map<String, ObservedMark> observedMarks = new HashMap<>();
    private final Map<String, Long> absentSinceNanos = new HashMap<>();
    private Set<String> listed = Set.of();
    private @Nullable ConfirmationRound round;
    private boolean listRead;
    private boolean mayMarkPeers;
    private long nextListNanos = Long.MIN_VALUE;
    private long nextQueryNanos = Long.MIN_VALUE;
    private long lastMarkNumber;

    private record ObservedMark(AllotmentEntry entry, long firstObservedNanos) {}

    private record ConfirmationRound(AllotmentEntry entry, Set<String> pendingPeers, Set<String> queriedPeers) {}

    AllotmentReclaimer(String entryVm, long incarnation, RateTimings timings, LeaseRenewalTracker renewals) {
        this.entryVm = entryVm;
        this.incarnation = incarnation;
        this.timings = timings;
        this.renewals = renewals;
    }

    void onRecord(AllotmentRecord record, long nowNanos) {
        observedMarks.keySet().removeIf(name -> record.entry(name).isEmpty());
        for (AllotmentEntry entry : record.entries()) {
            ObservedMark seen = observedMarks.get(entry.entryVm());
            boolean same = seen != null && sameMark(seen.entry(), entry);
            if (entry.mark() == null) {
                observedMarks.remove(entry.entryVm());
            } else if (!same) {
                observedMarks.put(entry.entryVm(), new ObservedMark(entry, nowNanos));
            }
        }
    }

    void onVirtualMachinesRead(Collection<String> names, AllotmentRecord record, long nowNanos) {
        listRead = true;
        listed = Set.copyOf(names);
        absentSinceNanos
                .keySet()
                .removeIf(name -> listed.contains(name) || record.entry(name).isEmpty());
        for (AllotmentEntry entry : record.entries()) {
            if (!listed.contains(entry.entryVm())) {
                absentSinceNanos.putIfAbsent(entry.entryVm(), nowNanos);
            }
        }
    }

    void onReclaimQueryAnswered(String peer, String holder, long holderIncarnation, boolean confirmed) {
        ConfirmationRound current = round;
        if (current == null || !current.entry().isHeldBy(holder, holderIncarnation)) {
            return;
        }
        if (confirmed) {
            current.pendingPeers().remove(peer);
        } else {
            round = null;
        }
    }

    List<AllotmentAction> onTick(AllotmentRecord record, Collection<String> running, long random, long nowNanos) {
        List<AllotmentAction> actions = new ArrayList<>();
        mayMarkPeers = Long.remainderUnsigned(random, TICKS_PER_MARK_ATTEMPT) == 0;
        boolean someMissing = record.entries().stream().anyMatch(entry -> isMissing(entry, running));
        if (someMissing && isDue(nextListNanos, nowNanos)) {
            nextListNanos = nowNanos + LIST_INTERVAL_NANOS;
            actions.add(new AllotmentAction.ReadVirtualMachines());
        }
        if (someMissing && isDue(nextQueryNanos, nowNanos)) {
            nextQueryNanos = nowNanos + QUERY_INTERVAL_NANOS;
            startRound(record, running, nowNanos, actions);
        }
        return actions;
    }

    Optional<AllotmentAction.SwapRecord> planChange(
            AllotmentRecord record, long revision, Collection<String> running, long nowNanos) {
        for (AllotmentEntry entry : record.entries()) {
            ReclaimMark mark = entry.mark();
            boolean reclaimable = isReclaimable(entry, running, nowNanos);
            if (reclaimable && mark == null && (mayMarkPeers || entry.entryVm().equals(entryVm))) {
                ReclaimMark newMark = new ReclaimMark(entryVm, incarnation + ++lastMarkNumber);
                return swap(record.with(entry.withMark(newMark)), revision, "marks", entry);
            }
            if (reclaimable && isConfirmed(entry)) {
                round = null;
                return reclaim(record, revision, entry);
            }
            if (mark != null && mark.entryVm().equals(entryVm) && isRunningPeer(entry, running)) {
                return swap(record.with(entry.withMark(null)), revision, "removes its mark from the running", entry);
            }
        }
        return Optional.empty();
    }

    private Optional<AllotmentAction.SwapRecord> reclaim(AllotmentRecord record, long revision, AllotmentEntry entry) {
        if (entry.entryVm().equals(entryVm)) {
            return swap(record.with(entry.takenOverBy(incarnation)), revision, "takes over the allotment of", entry);
        }
        return swap(record.without(entry.entryVm()), revision, "reclaims the allotment of", entry);
    }

    private void startRound(
            AllotmentRecord record, Collection<String> running, long nowNanos, List<AllotmentAction> actions) {
        if (!listRead) {
            return;
        }
        for (AllotmentEntry entry : record.entries()) {
            if (isReclaimable(entry, running, nowNanos) && isReclaimDelayOver(record, entry, nowNanos)) {
                Set<String> confirmers = requiredConfirmers(record, entry, running, nowNanos);
                round = new ConfirmationRound(entry, new HashSet<>(confirmers), confirmers);
                confirmers.forEach(peer ->
                        actions.add(new AllotmentAction.QueryReclaim(peer, entry.entryVm(), entry.incarnation())));
                return;
            }
        }
    }

    /**
     * Returns whether the mark has remained and this process has renewed no lease of the holder for the reclaim delay.
     */
    private boolean isReclaimDelayOver(AllotmentRecord record, AllotmentEntry entry, long nowNanos) {
        ObservedMark seen = observedMarks.get(entry.entryVm());
        return seen != null
                && sameMark(seen.entry(), entry)
                && nowNanos - seen.firstObservedNanos() >= timings.reclaimDelayNanos()
                && renewals.nanosSinceLastRenewal(record, entry.entryVm(), entry.incarnation(), nowNanos)
                        >= timings.reclaimDelayNanos();
    }

    private boolean isConfirmed(AllotmentEntry entry) {
        ConfirmationRound current = round;
        return current != null
                && sameMark(current.entry(), entry)
                && !current.queriedPeers().isEmpty()
                && current.pendingPeers().isEmpty();
    }

    private Set<String> requiredConfirmers(
            AllotmentRecord record, AllotmentEntry holder, Collection<String> running, long nowNanos) {
        Set<String> confirmers = new TreeSet<>(listed);
        confirmers.addAll(running);
        for (AllotmentEntry entry : record.entries()) {
            if (!isRemovedFromList(entry, nowNanos)) {
                confirmers.add(entry.entryVm());
            }
        }
        confirmers.remove(holder.entryVm());
        confirmers.remove(entryVm);
        return confirmers;
    }

    private boolean isMissing(AllotmentEntry entry, Collection<String> running) {
        if (entry.entryVm().equals(entryVm)) {
            return entry.incarnation() < incarnation;
        }
        return !running.contains(entry.entryVm());
    }

    private boolean isReclaimable(AllotmentEntry entry, Collection<String> running, long nowNanos) {
        return isMissing(entry, running) && (entry.entryVm().equals(entryVm) || isRemovedFromList(entry, nowNanos));
    }

    private boolean isRemovedFromList(AllotmentEntry entry, long nowNanos) {
        Long since = absentSinceNanos.get(entry.entryVm());
        return since != null && nowNanos - since >= timings.unlistedDelayNanos();
    }

    private boolean isRunningPeer(AllotmentEntry entry, Collection<String> running) {
        return !entry.entryVm().equals(entryVm) && running.contains(entry.entryVm());
    }

    private Optional<AllotmentAction.SwapRecord> swap(
            AllotmentRecord record, long revision, String action, AllotmentEntry entry) {
        String reason = entryVm + " " + action + " " + entry.entryVm() + " incarnation " + entry.incarnation();
        return Optional.of(new AllotmentAction.SwapRecord(record, revision, reason));
    }

    private static boolean sameMark(AllotmentEntry first, AllotmentEntry second) {
        return first.incarnation() == second.incarnation()
                && first.mark() != null
                && first.mark().equals(second.mark());
    }

    private static boolean isDue(long dueNanos, long nowNanos) {
        return dueNanos == Long.MIN_VALUE || nowNanos - dueNanos >= 0;
    }
}
