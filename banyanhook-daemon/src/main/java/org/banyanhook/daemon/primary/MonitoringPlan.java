package org.banyanhook.daemon.primary;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.banyanhook.core.configuration.Database;
import org.banyanhook.core.configuration.FailureDomain;
import org.banyanhook.core.configuration.FleetConfiguration;
import org.banyanhook.core.configuration.Service;
import org.banyanhook.core.primary.ProposerContext;
import org.banyanhook.core.primary.ProposerRanking;
import org.banyanhook.daemon.membership.EntryVm;

/**
 * The databases for which this daemon is a proposer candidate, computed from one configuration and one list of live
 * entry VMs. Immutable.
 */
final class MonitoringPlan {

    private final FleetConfiguration configuration;
    private final List<EntryVm> liveEntryVms;
    private final ImmutableList<EntryVm> peers;
    private final ImmutableMap<String, String> peerFailureDomains;
    private final ProposerRanking ranking;
    private final ImmutableMap<String, Integer> ranks;
    private final ImmutableMap<String, Database> databases;
    private final Set<String> takenOutFailureDomains;
    private final String entryVm;
    private final String failureDomain;

    private MonitoringPlan(
            FleetConfiguration configuration, List<EntryVm> liveEntryVms, String entryVm, String failureDomain) {
        this.configuration = configuration;
        this.liveEntryVms = liveEntryVms;
        this.entryVm = entryVm;
        this.failureDomain = failureDomain;
        this.peers = liveEntryVms.stream()
                .filter(peer -> !peer.name().equals(entryVm))
                .collect(ImmutableList.toImmutableList());
        this.peerFailureDomains =
                peers.stream().collect(ImmutableMap.toImmutableMap(EntryVm::name, EntryVm::failureDomain));
        this.ranking = ProposerRanking.of(eligibleProposers(liveEntryVms, entryVm, failureDomain));
        this.databases = databases(configuration);
        this.ranks = computeRanks(databases.keySet(), ranking, entryVm);
        this.takenOutFailureDomains = takenOutDomains(configuration);
    }

    private MonitoringPlan(MonitoringPlan earlier, FleetConfiguration configuration) {
        this.configuration = configuration;
        this.liveEntryVms = earlier.liveEntryVms;
        this.entryVm = earlier.entryVm;
        this.failureDomain = earlier.failureDomain;
        this.peers = earlier.peers;
        this.peerFailureDomains = earlier.peerFailureDomains;
        this.ranking = earlier.ranking;
        this.databases = databases(configuration);
        this.ranks = databases.keySet().equals(earlier.databases.keySet())
                ? earlier.ranks
                : computeRanks(databases.keySet(), ranking, entryVm);
        this.takenOutFailureDomains = takenOutDomains(configuration);
    }

    static MonitoringPlan of(
            FleetConfiguration configuration, List<EntryVm> liveEntryVms, String entryVm, String failureDomain) {
        return new MonitoringPlan(configuration, ImmutableList.copyOf(liveEntryVms), entryVm, failureDomain);
    }

    /**
     * Returns a plan for a newer configuration and the same entry VMs. The ranks are reused if the database names are
     * the same.
     */
    MonitoringPlan withConfiguration(FleetConfiguration newer) {
        return new MonitoringPlan(this, newer);
    }

    private static ImmutableMap<String, Database> databases(FleetConfiguration configuration) {
        return configuration.services().stream()
                .map(Service::databases)
                .flatMap(List::stream)
                .collect(ImmutableMap.toImmutableMap(Database::name, database -> database));
    }

    private static Set<String> takenOutDomains(FleetConfiguration configuration) {
        return configuration.failureDomains().stream()
                .filter(FailureDomain::takenOut)
                .map(FailureDomain::name)
                .collect(Collectors.toUnmodifiableSet());
    }

    private static Map<String, String> eligibleProposers(
            List<EntryVm> liveEntryVms, String entryVm, String failureDomain) {
        Map<String, String> eligible = new HashMap<>();
        for (EntryVm peer : liveEntryVms) {
            if (!peer.leaving()) {
                eligible.put(peer.name(), peer.failureDomain());
            }
        }
        if (eligible.isEmpty()) {
            eligible.put(entryVm, failureDomain);
        }
        return new TreeMap<>(eligible);
    }

    private static ImmutableMap<String, Integer> computeRanks(
            Iterable<String> databases, ProposerRanking ranking, String entryVm) {
        ImmutableMap.Builder<String, Integer> ranks = ImmutableMap.builder();
        for (String database : databases) {
            int rank = ranking.rank(database, entryVm);
            if (rank >= 0) {
                ranks.put(database, rank);
            }
        }
        return ranks.buildOrThrow();
    }

    boolean isBasedOn(FleetConfiguration currentConfiguration) {
        return configuration == currentConfiguration;
    }

    boolean isBasedOn(List<EntryVm> currentLiveEntryVms) {
        return liveEntryVms.equals(currentLiveEntryVms);
    }

    /** Returns the ranks of this daemon by database name; databases for which it is no candidate are absent. */
    ImmutableMap<String, Integer> ranks() {
        return ranks;
    }

    ImmutableMap<String, Database> databases() {
        return databases;
    }

    List<EntryVm> peers() {
        return peers;
    }

    Set<String> takenOutFailureDomains() {
        return takenOutFailureDomains;
    }

    ProposerContext proposerContext(int rank) {
        return new ProposerContext(rank, failureDomain, peerFailureDomains);
    }

    /** Returns the peers that are proposer candidates for a database. */
    List<EntryVm> candidatePeers(String database) {
        List<String> candidates = ranking.candidates(database);
        return peers.stream().filter(peer -> candidates.contains(peer.name())).toList();
    }
}
