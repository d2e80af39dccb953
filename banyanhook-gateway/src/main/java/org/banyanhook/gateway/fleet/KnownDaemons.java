package org.banyanhook.gateway.fleet;

import com.google.common.collect.ImmutableMap;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.banyanhook.gateway.port.DaemonEntry;
import org.banyanhook.gateway.port.StoreLease;

/** The daemons that have an entry in the store or had one recently. Used on the event loop only. */
final class KnownDaemons {

    /** How long a former number of daemons is taken into account when limits are divided. */
    private static final long COUNT_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(20);

    /** How long a daemon may still be running without contact to the store after its entry ended. */
    private static final long ENDED_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(30);

    private final Map<String, DaemonEntry> daemons = new HashMap<>();
    private final Map<String, StoreLease> leases = new HashMap<>();
    private final Map<String, EndedDaemon> endedDaemons = new HashMap<>();
    private final Deque<DaemonCount> counts = new ArrayDeque<>();
    private final Map<String, Integer> countsByDomain = new HashMap<>();
    private Map<String, DaemonEntry> byEntryVm = Map.of();
    private long changedNanos;
    private Map<String, String> recentFailureDomains = Map.of();

    private record DaemonCount(long observedNanos, int count) {}

    private record EndedDaemon(long endedNanos, DaemonEntry entry) {}

    void add(DaemonEntry entry, StoreLease lease, long nowNanos) {
        if (!entry.equals(daemons.put(entry.entryVm(), entry))) {
            changedNanos = nowNanos;
        }
        leases.put(entry.entryVm(), lease);
        endedDaemons.remove(entry.entryVm());
    }

    void remove(DaemonEntry entry, long nowNanos) {
        counts.addLast(new DaemonCount(nowNanos, daemons.size()));
        daemons.remove(entry.entryVm());
        changedNanos = nowNanos;
        leases.remove(entry.entryVm());
        endedDaemons.put(entry.entryVm(), new EndedDaemon(nowNanos, entry));
    }

    /** Removes daemons whose entry ended a while ago. */
    void tick(long nowNanos) {
        counts.removeIf(count -> nowNanos - count.observedNanos() > COUNT_RETENTION_NANOS);
        if (endedDaemons.values().removeIf(ended -> nowNanos - ended.endedNanos() > ENDED_RETENTION_NANOS)) {
            updateViews();
        }
    }

    /** Updates the views after changes. */
    void updateViews() {
        byEntryVm = ImmutableMap.copyOf(daemons);
        countsByDomain.clear();
        daemons.values().forEach(entry -> countsByDomain.merge(entry.failureDomain(), 1, Integer::sum));
        Map<String, String> found = new HashMap<>();
        recent().forEach((entryVm, entry) -> found.put(entryVm, entry.failureDomain()));
        if (!found.equals(recentFailureDomains)) {
            recentFailureDomains = ImmutableMap.copyOf(found);
        }
    }

    Map<String, DaemonEntry> byEntryVm() {
        return byEntryVm;
    }

    /** Returns when a daemon's entry last appeared, changed or ended. */
    long changedNanos() {
        return changedNanos;
    }

    int count() {
        return daemons.size();
    }

    int count(String failureDomain) {
        return countsByDomain.getOrDefault(failureDomain, 0);
    }

    Optional<StoreLease> lease(String entryVm) {
        return Optional.ofNullable(leases.get(entryVm)).filter(lease -> !lease.isNone());
    }

    long nanosSinceEntryEnded(String entryVm, long nowNanos) {
        EndedDaemon ended = endedDaemons.get(entryVm);
        return ended == null ? 0 : nowNanos - ended.endedNanos();
    }

    Map<String, DaemonEntry> recent() {
        Map<String, DaemonEntry> recent = new HashMap<>(daemons);
        endedDaemons.forEach((entryVm, ended) -> recent.putIfAbsent(entryVm, ended.entry()));
        return recent;
    }

    Map<String, String> recentFailureDomains() {
        return recentFailureDomains;
    }

    int highestRecentCount() {
        int maximum = Math.max(1, daemons.size());
        for (DaemonCount count : counts) {
            maximum = Math.max(maximum, count.count());
        }
        return maximum;
    }
}
