package org.banyanhook.daemon.configuration;

import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableMap;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.banyanhook.daemon.membership.EntryVm;

/** The live entry VMs by name, address and failure domain; always includes this one. Immutable. */
final class FleetView {

    private final String self;
    private final String failureDomain;
    private final ImmutableMap<String, EntryVm> byName;
    private final ImmutableListMultimap<String, String> namesByDomain;

    FleetView(EntryVm self, Collection<EntryVm> liveEntryVms) {
        this.self = self.name();
        this.failureDomain = self.failureDomain();
        ImmutableMap.Builder<String, EntryVm> entryVmsByName = ImmutableMap.builder();
        entryVmsByName.put(self.name(), self);
        liveEntryVms.stream()
                .filter(entryVm -> !entryVm.name().equals(self.name()))
                .forEach(entryVm -> entryVmsByName.put(entryVm.name(), entryVm));
        this.byName = entryVmsByName.buildKeepingLast();
        this.namesByDomain = byName.values().stream()
                .collect(ImmutableListMultimap.toImmutableListMultimap(EntryVm::failureDomain, EntryVm::name));
    }

    /** Returns the names of the live entry VMs in the failure domain of this entry VM. */
    List<String> namesInOwnDomain() {
        return namesByDomain.get(failureDomain);
    }

    /** Returns the names of the failure domains that have live entry VMs. */
    Collection<String> failureDomains() {
        return namesByDomain.keySet();
    }

    /** Returns the names of the live entry VMs in a failure domain. */
    List<String> namesIn(String domain) {
        return namesByDomain.get(domain);
    }

    /** Returns the names of the other live entry VMs. */
    List<String> otherNames() {
        return byName.keySet().stream().filter(name -> !name.equals(self)).toList();
    }

    /** Returns the address of an entry VM, or empty if it is not known to be live. */
    Optional<String> addressOf(String name) {
        return Optional.ofNullable(byName.get(name)).map(EntryVm::peerAddress);
    }

    /** Returns the name of the entry VM at an address, or empty if it is not known to be live. */
    Optional<String> nameAt(String address) {
        return byName.values().stream()
                .filter(entryVm -> entryVm.peerAddress().equals(address))
                .map(EntryVm::name)
                .findFirst();
    }

    /** Returns the failure domain of an entry VM, or empty if it is not known to be live. */
    Optional<String> failureDomainOf(String name) {
        return Optional.ofNullable(byName.get(name)).map(EntryVm::failureDomain);
    }
}
