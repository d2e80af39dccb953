package org.banyanhook.daemon.rate;

import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.banyanhook.daemon.membership.EntryVm;

/** Indexes one membership snapshot by failure domain and by entry VM name. Immutable. */
final class EntryVmIndex {

    private final List<EntryVm> entryVms;
    private final Map<String, List<String>> runningByDomain;
    private final Map<String, String> peerAddresses;

    EntryVmIndex(List<EntryVm> entryVms) {
        this.entryVms = entryVms;
        Map<String, List<String>> running = new TreeMap<>();
        Map<String, String> addressByName = new HashMap<>();
        for (EntryVm entryVm : entryVms) {
            addressByName.put(entryVm.name(), entryVm.peerAddress());
            if (!entryVm.leaving()) {
                running.computeIfAbsent(entryVm.failureDomain(), domain -> new ArrayList<>())
                        .add(entryVm.name());
            }
        }
        this.runningByDomain = ImmutableMap.copyOf(running);
        this.peerAddresses = ImmutableMap.copyOf(addressByName);
    }

    /** Returns whether this index was built from the given snapshot, compared by identity. */
    boolean isBasedOn(List<EntryVm> snapshot) {
        return entryVms == snapshot;
    }

    /** Returns the names of the running entry VMs that are not shutting down, by failure domain. */
    Map<String, List<String>> runningByDomain() {
        return runningByDomain;
    }

    Optional<String> peerAddress(String entryVm) {
        return Optional.ofNullable(peerAddresses.get(entryVm));
    }
}
