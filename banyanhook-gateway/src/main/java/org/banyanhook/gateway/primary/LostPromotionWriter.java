package org.banyanhook.gateway.primary;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.banyanhook.gateway.fleet.FleetDirectory;
import org.banyanhook.gateway.fleet.StoreEras;
import org.banyanhook.gateway.operation.DecisionLog;
import org.banyanhook.gateway.operation.MonotonicClock;
import org.banyanhook.gateway.port.FleetRecord;
import org.banyanhook.gateway.port.FleetRecordCodec;
import org.banyanhook.gateway.port.RecordStore;
import org.banyanhook.gateway.port.StoreLease;

/**
 * Writes promotions again that the store lost when it was restored from an older copy. A daemon that starts after the
 * restore would otherwise take the copy's former primary for the last one that was promoted, and use no other. Used on
 * the event loop only.
 */
public final class LostPromotionWriter {

    /** Exceeds the time until the watch shows a record that this or another daemon has written. */
    private static final long RETRY_DELAY_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final String entryVm;
    private final RecordStore store;
    private final FleetRecordCodec recordCodec;
    private final FleetDirectory directory;
    private final StoreEras eras;
    private final MonotonicClock clock;
    private final DecisionLog log;
    private boolean incomplete;
    private long lastAttemptNanos;

    /**
     * Creates a writer.
     *
     * @param entryVm the name of this entry VM
     * @param store stores the records
     * @param recordCodec provides the keys and the encoding of the records
     * @param directory provides the known promotions and the revisions of the records in the store
     * @param eras the eras of the store
     * @param clock the monotonic clock
     * @param log receives a line for each record
     */
    public LostPromotionWriter(
            String entryVm,
            RecordStore store,
            FleetRecordCodec recordCodec,
            FleetDirectory directory,
            StoreEras eras,
            MonotonicClock clock,
            DecisionLog log) {
        this.entryVm = entryVm;
        this.store = store;
        this.recordCodec = recordCodec;
        this.directory = directory;
        this.eras = eras;
        this.clock = clock;
        this.log = log;
    }

    /** Looks for lost records from now on, because the store was restored. */
    public void onStoreRestored() {
        incomplete = true;
    }

    /** Writes lost records again after an attempt that failed or was overtaken by another change. Call periodically. */
    public void tick() {
        if (incomplete && clock.nowNanos() - lastAttemptNanos >= RETRY_DELAY_NANOS) {
            writeAgain();
        }
    }

    /**
     * Writes each lost record under the condition that the record of the copy has not changed, so that a promotion of
     * the new era is never replaced. Only the voters write; the others learn the promotions from the store.
     */
    public void writeAgain() {
        long era = eras.newest();
        lastAttemptNanos = clock.nowNanos();
        Set<String> voters = directory.voters().sets().all();
        if (!eras.mayDecideIn(era) || !(voters.isEmpty() || voters.contains(entryVm))) {
            return;
        }
        Set<FleetRecord.Promotion> lost = directory.lostPromotions(era);
        incomplete = !lost.isEmpty();
        lost.forEach(this::write);
    }

    private void write(FleetRecord.Promotion promotion) {
        store.put(
                        recordCodec.promotionKey(promotion.group()),
                        recordCodec.encode(promotion),
                        Optional.of(directory.storedPromotionRevision(promotion.group())),
                        StoreLease.NONE)
                .whenComplete((revision, failure) -> log.line("promotion-record")
                        .with("group", promotion.group())
                        .with("member", promotion.member())
                        .with("change", failure == null ? "written-again" : "not-written-again")
                        .with("reason", failure == null ? null : failure.toString())
                        .write());
    }
}
