package org.banyanhook.gateway.primary;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.banyanhook.core.primary.GrantedVotes;
import org.banyanhook.gateway.fleet.DutyLease;
import org.banyanhook.gateway.fleet.FleetDirectory;
import org.banyanhook.gateway.operation.DecisionLog;
import org.banyanhook.gateway.operation.MonotonicClock;
import org.banyanhook.gateway.port.FleetRecord;
import org.banyanhook.gateway.port.FleetRecordCodec;
import org.banyanhook.gateway.port.RecordStore;
import org.banyanhook.gateway.port.StoreLease;

/**
 * The promotion leases of this daemon, one for each database group, so that the primaries of several groups can be
 * replaced at the same time by different daemons. Used on the event loop only.
 */
public final class PromotionLeases {

    private final String entryVm;
    private final RecordStore store;
    private final FleetRecordCodec recordCodec;
    private final FleetDirectory directory;
    private final MonotonicClock clock;
    private final DecisionLog log;
    private final Map<String, DutyLease> leases = new HashMap<>();

    /**
     * Creates a set of leases, none of which is held.
     *
     * @param entryVm the name of this entry VM
     * @param store stores the lease records
     * @param recordCodec provides the keys and the encoding of the records
     * @param directory provides the leases that this daemon holds according to the store
     * @param clock the monotonic clock
     * @param log receives a line when a lease is acquired or ended
     */
    public PromotionLeases(
            String entryVm,
            RecordStore store,
            FleetRecordCodec recordCodec,
            FleetDirectory directory,
            MonotonicClock clock,
            DecisionLog log) {
        this.entryVm = entryVm;
        this.store = store;
        this.recordCodec = recordCodec;
        this.directory = directory;
        this.clock = clock;
        this.log = log;
    }

    /** Returns the lease of a group. */
    DutyLease lease(String group) {
        return leases.computeIfAbsent(
                group,
                name -> new DutyLease(
                        store,
                        recordCodec.promotionLeaseKey(name),
                        recordCodec.encode(new FleetRecord.PromotionLeaseHolder(name, entryVm)),
                        "promotion-duty",
                        name,
                        GrantedVotes.PROMOTION_LEASE_DURATION,
                        () -> formerLease(name),
                        clock,
                        log));
    }

    /**
     * Ends the leases that this daemon held before its restart, so that they block no other daemon until they expire.
     * Call once, when the records have been read for the first time and before a lease is acquired.
     */
    public void endFormerLeases() {
        directory.promotionLeasesOf(entryVm).forEach((group, lease) -> {
            log.line("promotion-duty")
                    .with("group", group)
                    .with("lease", lease.id())
                    .with("change", "ended-after-restart")
                    .write();
            var unused = store.endLease(lease).exceptionallyCompose(DutyLease::ignoreEndedLease);
        });
    }

    /** Stops holding any lease, because the store was restored from a copy and may have lost them. */
    public void dropAll() {
        leases.values().forEach(DutyLease::drop);
    }

    private Optional<StoreLease> formerLease(String group) {
        return Optional.ofNullable(directory.promotionLeasesOf(entryVm).get(group))
                .filter(lease -> !lease.isNone());
    }
}
