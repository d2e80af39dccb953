package org.banyanhook.testbed.platform;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.banyanhook.daemon.platform.VirtualMachine;
import org.jspecify.annotations.Nullable;

/** The values, leases and list of virtual machines of the platform's service. Safe for use by several threads. */
final class PlatformState {

    /**
     * A stored value.
     *
     * @param key its key
     * @param value its text
     * @param revision its revision, which grows over all keys
     */
    record Value(String key, String value, long revision) {}

    /**
     * The outcome of a compare-and-swap.
     *
     * @param applied whether the value was replaced
     * @param revision the new revision if applied, else the present one, 0 if absent
     */
    record SwapResult(boolean applied, long revision) {}

    private record Slot(Value value, @Nullable String leaseId) {}

    private record Lease(long timeToLiveNanos, long lapsesNanos) {}

    private record Watch(String key, long afterRevision, CompletableFuture<Value> result) {}

    private record ListVersion(long visibleNanos, List<VirtualMachine> machines) {}

    private final LongSupplier nanoClock;
    private final Map<String, Slot> slots = new HashMap<>();
    private final Map<String, Lease> leases = new HashMap<>();
    private final List<Watch> watches = new ArrayList<>();
    private final Deque<ListVersion> lists = new ArrayDeque<>();
    private List<VirtualMachine> visibleMachines = List.of();
    private long listLagNanos;
    private long lastRevision;
    private long lastLease;

    PlatformState(LongSupplier nanoClock) {
        this.nanoClock = nanoClock;
    }

    synchronized Optional<Value> read(String key) {
        dropLapsed();
        return Optional.ofNullable(slots.get(key)).map(Slot::value);
    }

    synchronized SwapResult swap(String key, String value, long expectedRevision, @Nullable String leaseId) {
        dropLapsed();
        long present = revisionOf(key);
        if (present != expectedRevision || (leaseId != null && !leases.containsKey(leaseId))) {
            return new SwapResult(false, present);
        }
        lastRevision++;
        Value stored = new Value(key, value, lastRevision);
        slots.put(key, new Slot(stored, leaseId));
        completeWatches(stored);
        return new SwapResult(true, lastRevision);
    }

    /** Deletes a value; returns empty if it is absent. */
    synchronized Optional<SwapResult> delete(String key, long expectedRevision) {
        dropLapsed();
        long present = revisionOf(key);
        if (present == 0) {
            return Optional.empty();
        }
        if (present != expectedRevision) {
            return Optional.of(new SwapResult(false, present));
        }
        slots.remove(key);
        return Optional.of(new SwapResult(true, present));
    }

    /** Returns a future that is completed with the first value of the key whose revision is over the given one. */
    synchronized CompletableFuture<Value> watch(String key, long afterRevision) {
        dropLapsed();
        Slot slot = slots.get(key);
        if (slot != null && slot.value().revision() > afterRevision) {
            return CompletableFuture.completedFuture(slot.value());
        }
        Watch watch = new Watch(key, afterRevision, new CompletableFuture<>());
        watches.add(watch);
        return watch.result();
    }

    synchronized void endWatch(CompletableFuture<Value> result) {
        watches.removeIf(watch -> watch.result() == result);
    }

    synchronized String grantLease(long timeToLiveMillis) {
        lastLease++;
        String id = "lease-" + lastLease;
        long timeToLiveNanos = timeToLiveMillis * 1_000_000;
        leases.put(id, new Lease(timeToLiveNanos, nanoClock.getAsLong() + timeToLiveNanos));
        return id;
    }

    /** Renews a lease; returns its time to live in milliseconds, or empty if it has lapsed. */
    synchronized OptionalLong renewLease(String id) {
        dropLapsed();
        Lease lease = leases.get(id);
        if (lease == null) {
            return OptionalLong.empty();
        }
        leases.put(id, new Lease(lease.timeToLiveNanos(), nanoClock.getAsLong() + lease.timeToLiveNanos()));
        return OptionalLong.of(lease.timeToLiveNanos() / 1_000_000);
    }

    synchronized boolean revokeLease(String id) {
        dropLapsed();
        boolean known = leases.remove(id) != null;
        dropValuesWithoutLease();
        return known;
    }

    synchronized void listMachines(List<VirtualMachine> machines) {
        lists.addLast(new ListVersion(nanoClock.getAsLong() + listLagNanos, List.copyOf(machines)));
    }

    synchronized void setListLagMillis(long lagMillis) {
        listLagNanos = lagMillis * 1_000_000;
    }

    synchronized List<VirtualMachine> machines() {
        long now = nanoClock.getAsLong();
        while (!lists.isEmpty() && now - lists.getFirst().visibleNanos() >= 0) {
            visibleMachines = lists.removeFirst().machines();
        }
        return visibleMachines;
    }

    private long revisionOf(String key) {
        Slot slot = slots.get(key);
        return slot == null ? 0 : slot.value().revision();
    }

    private void completeWatches(Value stored) {
        Iterator<Watch> iterator = watches.iterator();
        while (iterator.hasNext()) {
            Watch watch = iterator.next();
            if (watch.key().equals(stored.key()) && stored.revision() > watch.afterRevision()) {
                iterator.remove();
                watch.result().completeAsync(() -> stored);
            }
        }
    }

    private void dropLapsed() {
        long now = nanoClock.getAsLong();
        if (leases.values().removeIf(lease -> now - lease.lapsesNanos() >= 0)) {
            dropValuesWithoutLease();
        }
    }

    private void dropValuesWithoutLease() {
        slots.values().removeIf(slot -> slot.leaseId() != null && !leases.containsKey(slot.leaseId()));
    }
}
