package org.banyanhook.daemon.rate;

import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.banyanhook.daemon.membership.EntryVm;

/** One snapshot of the membership, arranged by failure domain and by name. Immutable. */
final class EntryVmIndex {

    private final List<EntryVm> source;
    private final Map<String, List<String>> runningByDomain;
    private final Map<String, String> addresses;

    EntryVmIndex(List<EntryVm> source) {
        this.source = source;
        Map<String, List<String>> running = new TreeMap<>();
        Map<String, String> addressByName = new HashMap<>();
        for (EntryVm entryVm : source) {
            addressByName.put(entryVm.name(), entryVm.peerAddress());
            if (!entryVm.leaving()) {
                running.computeIfAbsent(entryVm.failureDomain(), domain -> new ArrayList<>())
                        .add(entryVm.name());
            }
        }
        this.runningByDomain = ImmutableMap.copyOf(running);
        this.addresses = ImmutableMap.copyOf(addressByName);
    }

    boolean isOf(List<EntryVm> snapshot) {
        return source == snapshot;
    }

    Map<String, List<String>> runningByDomain() {
        return runningByDomain;
    }

    Optional<String> address(String entryVm) {
        return Optional.ofNullable(addresses.get(entryVm));
    }
}
