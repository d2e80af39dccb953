package org.banyanhook.daemon.forwarding;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.banyanhook.core.configuration.Database;
import org.banyanhook.core.configuration.FailureDomain;
import org.banyanhook.core.configuration.FleetConfiguration;
import org.banyanhook.core.routing.ConnectionShare;
import org.banyanhook.core.routing.HomeCandidate;
import org.banyanhook.core.routing.HomePlacement;
import org.banyanhook.daemon.configuration.ConfigurationSource;
import org.banyanhook.daemon.membership.EntryVm;
import org.banyanhook.daemon.membership.MembershipSource;
import org.jspecify.annotations.Nullable;

/**
 * Determines the homes of each database from the live entry VMs and the configuration. Safe for use by several threads.
 */
public final class HomeDirectory {

    private final HomeCandidate self;
    private final MembershipSource membership;
    private final ConfigurationSource configuration;
    private volatile @Nullable HomeCache lastCache;

    /**
     * Creates a directory.
     *
     * @param entryVm the name of this entry VM
     * @param failureDomain the failure domain of this entry VM
     * @param membership supplies the live entry VMs
     * @param configuration supplies the failure domains that are taken out and the entry VMs that are drained
     */
    public HomeDirectory(
            String entryVm, String failureDomain, MembershipSource membership, ConfigurationSource configuration) {
        this.self = new HomeCandidate(entryVm, failureDomain);
        this.membership = requireNonNull(membership, "membership");
        this.configuration = requireNonNull(configuration, "configuration");
    }

    /** Returns the name of this entry VM. */
    public String selfName() {
        return self.entryVm();
    }

    /**
     * Finds the homes of a database.
     *
     * @param database the name of the database
     * @return the homes, nearest to this entry VM first; empty if no live entry VM accepts new requests
     */
    public List<EntryVm> homes(String database) {
        HomeCache cache = currentCache();
        return cache.homesByDatabase().computeIfAbsent(database, name -> chooseHomes(cache, name));
    }

    /**
     * Finds a live entry VM, including one that is leaving.
     *
     * @param name its name
     * @return a list of the entry VM, empty if the membership does not report it as live
     */
    public List<EntryVm> liveEntryVm(String name) {
        return membership.liveEntryVms().stream()
                .filter(vm -> vm.name().equals(name))
                .collect(ImmutableList.toImmutableList());
    }

    /**
     * Returns whether there is a record of an entry VM, alive or dead. One without a record may not be known here yet.
     *
     * @param name its name
     */
    public boolean hasRecord(String name) {
        return membership.hasRecord(name);
    }

    /**
     * Computes this daemon's share of the connections to one member of a database.
     *
     * @param database the database
     * @return the share, at least 1
     */
    public int connectionShare(Database database) {
        int homes = Math.max(1, homes(database.name()).size());
        return ConnectionShare.perHome(database.connectionLimit(), homes);
    }

    private HomeCache currentCache() {
        List<EntryVm> liveEntryVms = membership.liveEntryVms();
        FleetConfiguration currentConfiguration = configuration.current();
        HomeCache previous = lastCache;
        if (previous != null
                && previous.liveEntryVms() == liveEntryVms
                && previous.configuration() == currentConfiguration) {
            return previous;
        }
        List<HomeCandidate> candidates = liveEntryVms.stream()
                .filter(vm -> acceptsRequests(currentConfiguration, vm))
                .map(vm -> new HomeCandidate(vm.name(), vm.failureDomain()))
                .toList();
        HomeCache cache = new HomeCache(
                liveEntryVms, currentConfiguration, HomePlacement.of(candidates), new ConcurrentHashMap<>());
        lastCache = cache;
        return cache;
    }

    private List<EntryVm> chooseHomes(HomeCache cache, String database) {
        List<HomeCandidate> homes = cache.placement().homes(database, HomePlacement.HOMES_PER_DATABASE);
        return HomePlacement.nearestFirst(homes, self).stream()
                .flatMap(home ->
                        cache.liveEntryVms().stream().filter(vm -> vm.name().equals(home.entryVm())))
                .collect(ImmutableList.toImmutableList());
    }

    private static boolean acceptsRequests(FleetConfiguration configuration, EntryVm vm) {
        boolean takenOut = configuration
                .failureDomain(vm.failureDomain())
                .map(FailureDomain::takenOut)
                .orElse(false);
        boolean drained = configuration.drainedEntryVms().contains(vm.name());
        return !vm.leaving() && !takenOut && !drained;
    }

    /** Cached homes of databases, for one list of live entry VMs and one configuration. */
    private record HomeCache(
            List<EntryVm> liveEntryVms,
            FleetConfiguration configuration,
            HomePlacement placement,
            Map<String, List<EntryVm>> homesByDatabase) {}
}
