package org.banyanhook.gateway.fleet;

import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.banyanhook.core.primary.VoterMaintenance;
import org.banyanhook.core.primary.VoterSets;
import org.banyanhook.core.store.StoreRevision;
import org.banyanhook.gateway.port.DaemonEntry;
import org.banyanhook.gateway.port.FleetRecord;

/**
 * The newest known voters, and which of them have no entry in the store. They stay known if the store is restored from
 * a copy that lacks their record. Used on the event loop only.
 */
public final class RecordedVoters {

    private final Map<String, Long> absentSinceNanos = new HashMap<>();
    private FleetRecord.Voters known = FleetRecord.Voters.NONE;
    private StoreRevision knownRevision = StoreRevision.NONE;

    /**
     * Applies a record. The copy's record of older voters does not replace newer ones.
     *
     * @param found the record
     * @param revision its revision
     * @return whether the voters of the record are the newest ones that are known now
     */
    boolean apply(FleetRecord.Voters found, StoreRevision revision) {
        if (found.sets().version() < known.sets().version()) {
            return false;
        }
        known = found;
        knownRevision = revision;
        return true;
    }

    /** Observes which daemons have an entry in the store. */
    void observeRegistered(Set<String> registered, long nowNanos) {
        Set<String> voters = known.sets().all();
        absentSinceNanos.keySet().removeIf(voter -> registered.contains(voter) || !voters.contains(voter));
        voters.stream()
                .filter(voter -> !registered.contains(voter))
                .forEach(voter -> absentSinceNanos.putIfAbsent(voter, nowNanos));
    }

    /** Returns the newest known voters. */
    public VoterSets sets() {
        return known.sets();
    }

    /** Returns the entries of the voters, by entry VM, as they were when the voters were recorded. */
    public Map<String, DaemonEntry> entries() {
        return known.entries();
    }

    /** Returns the newest known record. */
    public FleetRecord.Voters record() {
        return known;
    }

    /** Returns the revision of the newest known record, or none. */
    public StoreRevision knownRevision() {
        return knownRevision;
    }

    /**
     * Returns the failure domains of the voters that have had no entry for less than a time.
     *
     * @param nanos the time
     * @param nowNanos the present time
     */
    public Map<String, String> absentFor(long nanos, long nowNanos) {
        ImmutableMap.Builder<String, String> domains = ImmutableMap.builder();
        absentSinceNanos.forEach((voter, since) -> {
            DaemonEntry entry = known.entries().get(voter);
            if (entry != null && nowNanos - since < nanos) {
                domains.put(voter, entry.failureDomain());
            }
        });
        return domains.buildOrThrow();
    }

    /** Returns the voters that have had no entry for so long that no daemon relies on a majority with them. */
    public Set<String> departed(long nowNanos) {
        return absentSinceNanos.entrySet().stream()
                .filter(absent -> nowNanos - absent.getValue() >= VoterMaintenance.DEPARTED_AFTER_NANOS)
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
    }
}
