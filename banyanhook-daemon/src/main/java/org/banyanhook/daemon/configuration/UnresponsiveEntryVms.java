package org.banyanhook.daemon.configuration;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.banyanhook.daemon.membership.EntryVm;

/** Records entry VMs that became unresponsive without leaving. Not safe for use by several threads. */
final class UnresponsiveEntryVms {

    private static final long RETENTION_NANOS = TimeUnit.HOURS.toNanos(1);

    private final Map<String, EntryVm> live = new HashMap<>();
    private final Map<String, Entry> entriesByName = new HashMap<>();

    void update(List<EntryVm> currentlyLive, long nowNanos) {
        live.values().stream()
                .filter(entryVm -> !entryVm.leaving())
                .forEach(entryVm -> entriesByName.putIfAbsent(entryVm.name(), new Entry(entryVm, nowNanos)));
        live.clear();
        currentlyLive.forEach(entryVm -> live.put(entryVm.name(), entryVm));
        entriesByName.keySet().removeAll(live.keySet());
        entriesByName.values().removeIf(entry -> nowNanos - entry.unresponsiveSinceNanos() > RETENTION_NANOS);
    }

    /** Returns the entry VMs that became unresponsive less than an hour ago. */
    List<EntryVm> list() {
        return entriesByName.values().stream().map(Entry::entryVm).collect(ImmutableList.toImmutableList());
    }

    private record Entry(EntryVm entryVm, long unresponsiveSinceNanos) {}
}
