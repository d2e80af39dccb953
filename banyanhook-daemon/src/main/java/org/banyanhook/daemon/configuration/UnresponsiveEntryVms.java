package org.banyanhook.daemon.configuration;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.banyanhook.daemon.membership.EntryVm;

/** Remembers entry VMs that fell silent without leaving. Not safe for use by several threads. */
final class UnresponsiveEntryVms {

    private static final long MEMORY_NANOS = TimeUnit.HOURS.toNanos(1);

    private final Map<String, EntryVm> live = new HashMap<>();
    private final Map<String, Entry> silent = new HashMap<>();

    void update(List<EntryVm> nowLive, long nowNanos) {
        live.values().stream()
                .filter(member -> !member.leaving())
                .forEach(member -> silent.putIfAbsent(member.name(), new Entry(member, nowNanos)));
        live.clear();
        nowLive.forEach(member -> live.put(member.name(), member));
        silent.keySet().removeAll(live.keySet());
        silent.values().removeIf(silence -> nowNanos - silence.sinceNanos() > MEMORY_NANOS);
    }

    /** Returns the entry VMs that fell silent less than an hour ago. */
    List<EntryVm> silent() {
        return silent.values().stream().map(Entry::entryVm).collect(ImmutableList.toImmutableList());
    }

    private record Entry(EntryVm entryVm, long sinceNanos) {}
}
