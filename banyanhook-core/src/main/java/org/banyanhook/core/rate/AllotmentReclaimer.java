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
 * Takes back the allotments of holders that are gone.
 *
 * <p>A holder missing from the platform's list is marked in the record; a running one removes the mark. Once the mark
 * has stood for the reclaim time, every other entry VM of the failure domain that may run must witness that it granted
 * nothing for as long. Only then is the entry removed, by a compare-and-swap against the record that has this very
 * mark. Not safe for use by several threads.
 */
final class AllotmentReclaimer {

    private static final long QUERY_INTERVAL_NANOS = 2_000_000_000;
    private static final long LIST_INTERVAL_NANOS = 5_000_000_000L;
    private static final int TICKS_PER_MARK = 10;

    private final String entryVm;
    private final long incarnation;
    private final RateTimings timings;
    private final LeaseRenewalTracker witness;
    private final Map<String, ObservedMark> marks = new HashMap<>();
    private final Map<String, Long> absentSinceNanos = new HashMap<>();
    private Set<String> listed = Set.of();
    private @Nullable ConfirmationRound round;
    private boolean listKnown;
    private boolean marksNow;
    private long nextListNanos = Long.MIN_VALUE;
    private long nextQueryNanos = Long.MIN_VALUE;
    private long lastMarkNumber;

    private record ObservedMark(AllotmentEntry entry, long sinceNanos) {}

    private record ConfirmationRound(AllotmentEntry entry, Set<String> pending, Set<String> asked) {}

    AllotmentReclaimer(String entryVm, long incarnation, RateTimings timings, LeaseRenewalTracker witness) {
        this.entryVm = entryVm;
        this.incarnation = incarnation;
        this.timings = timings;
        this.witness = witness;
    }

    void onRecord(AllotmentRecord record, long nowNanos) {
        marks.keySet().removeIf(name -> record.entry(name).isEmpty());
        for (AllotmentEntry entry : record.entries()) {
            ObservedMark seen = marks.get(entry.entryVm());
            boolean same = seen != null && sameMark(seen.entry(), entry);
            if (entry.mark() == null) {
                marks.remove(entry.entryVm());
            } else if (!same) {
                marks.put(entry.entryVm(), new ObservedMark(entry, nowNanos));
            }
        }
    }

    void onVirtualMachines(Collection<String> names, AllotmentRecord record, long nowNanos) {
        listKnown = true;
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

    void onWitnessAnswered(String peer, String holder, long holderIncarnation, boolean silent) {
        ConfirmationRound current = round;
        if (current == null || !current.entry().isHeldBy(holder, holderIncarnation)) {
            return;
        }
        if (silent) {
            current.pending().remove(peer);
        } else {
            round = null;
        }
    }

    List<AllotmentAction> onTick(AllotmentRecord record, Collection<String> running, long random, long nowNanos) {
        List<AllotmentAction> actions = new ArrayList<>();
        marksNow = Long.remainderUnsigned(random, TICKS_PER_MARK) == 0;
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
            boolean candidate = isCandidate(entry, running, nowNanos);
            if (candidate && mark == null && (marksNow || entry.entryVm().equals(entryVm))) {
                ReclaimMark newMark = new ReclaimMark(entryVm, incarnation + ++lastMarkNumber);
                return swap(record.with(entry.withMark(newMark)), revision, "marks", entry);
            }
            if (candidate && isWitnessed(entry)) {
                round = null;
                return takeBack(record, revision, entry);
            }
            if (mark != null && mark.entryVm().equals(entryVm) && isAnotherRunning(entry, running)) {
                return swap(record.with(entry.withMark(null)), revision, "removes its mark from running", entry);
            }
        }
        return Optional.empty();
    }

    private Optional<AllotmentAction.SwapRecord> takeBack(AllotmentRecord record, long revision, AllotmentEntry entry) {
        if (entry.entryVm().equals(entryVm)) {
            return swap(record.with(entry.takenOverBy(incarnation)), revision, "takes over from", entry);
        }
        return swap(record.without(entry.entryVm()), revision, "takes back from", entry);
    }

    private void startRound(
            AllotmentRecord record, Collection<String> running, long nowNanos, List<AllotmentAction> actions) {
        if (!listKnown) {
            return;
        }
        for (AllotmentEntry entry : record.entries()) {
            if (isCandidate(entry, running, nowNanos) && isRipe(record, entry, nowNanos)) {
                Set<String> witnesses = requiredWitnesses(record, entry, running, nowNanos);
                round = new ConfirmationRound(entry, new HashSet<>(witnesses), witnesses);
                witnesses.forEach(peer ->
                        actions.add(new AllotmentAction.QueryReclaim(peer, entry.entryVm(), entry.incarnation())));
                return;
            }
        }
    }

    /** Returns whether the mark has stood for the reclaim time and this process itself granted nothing for as long. */
    private boolean isRipe(AllotmentRecord record, AllotmentEntry entry, long nowNanos) {
        ObservedMark seen = marks.get(entry.entryVm());
        return seen != null
                && sameMark(seen.entry(), entry)
                && nowNanos - seen.sinceNanos() >= timings.reclaimNanos()
                && witness.silentNanos(record, entry.entryVm(), entry.incarnation(), nowNanos)
                        >= timings.reclaimNanos();
    }

    private boolean isWitnessed(AllotmentEntry entry) {
        ConfirmationRound current = round;
        return current != null
                && sameMark(current.entry(), entry)
                && !current.asked().isEmpty()
                && current.pending().isEmpty();
    }

    private Set<String> requiredWitnesses(
            AllotmentRecord record, AllotmentEntry holder, Collection<String> running, long nowNanos) {
        Set<String> witnesses = new TreeSet<>(listed);
        witnesses.addAll(running);
        for (AllotmentEntry entry : record.entries()) {
            if (!isDropped(entry, nowNanos)) {
                witnesses.add(entry.entryVm());
            }
        }
        witnesses.remove(holder.entryVm());
        witnesses.remove(entryVm);
        return witnesses;
    }

    private boolean isMissing(AllotmentEntry entry, Collection<String> running) {
        if (entry.entryVm().equals(entryVm)) {
            return entry.incarnation() < incarnation;
        }
        return !running.contains(entry.entryVm());
    }

    private boolean isCandidate(AllotmentEntry entry, Collection<String> running, long nowNanos) {
        return isMissing(entry, running) && (entry.entryVm().equals(entryVm) || isDropped(entry, nowNanos));
    }

    private boolean isDropped(AllotmentEntry entry, long nowNanos) {
        Long since = absentSinceNanos.get(entry.entryVm());
        return since != null && nowNanos - since >= timings.listLagNanos();
    }

    private boolean isAnotherRunning(AllotmentEntry entry, Collection<String> running) {
        return !entry.entryVm().equals(entryVm) && running.contains(entry.entryVm());
    }

    private Optional<AllotmentAction.SwapRecord> swap(
            AllotmentRecord record, long revision, String verb, AllotmentEntry entry) {
        String reason = entryVm + " " + verb + " " + entry.entryVm() + " incarnation " + entry.incarnation();
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
