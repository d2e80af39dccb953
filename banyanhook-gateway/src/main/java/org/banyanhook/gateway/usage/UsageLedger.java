package org.banyanhook.gateway.usage;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Collection;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.banyanhook.core.store.StoreRevision;
import org.banyanhook.core.usage.UsageReportSchedule.Report;
import org.banyanhook.gateway.port.RecordStore;
import org.banyanhook.gateway.port.StoreLease;
import org.banyanhook.gateway.port.StorePage;
import org.banyanhook.gateway.port.StoreRecord;
import org.banyanhook.protocol.generated.UsageCounts;

/**
 * The record of the decided windows in the store. It contains the newest decided window and the older ones that may not
 * have been accepted. Each write requires the revision that was read or written last, so that of two holders only one
 * decides a window. Used on the event loop only.
 */
final class UsageLedger {

    private final RecordStore store;
    private final String key;
    private StoreRevision revision = StoreRevision.NONE;

    /**
     * Creates a ledger whose contents are not known.
     *
     * @param store the store
     * @param key the key of the record
     */
    UsageLedger(RecordStore store, String key) {
        this.store = store;
        this.key = key;
    }

    /**
     * Reads the decided windows.
     *
     * @return the reports by window; empty if nothing was ever decided
     */
    CompletableFuture<TreeMap<Long, Report>> read() {
        return store.list(key, Optional.empty()).thenApply(this::apply);
    }

    private TreeMap<Long, Report> apply(StorePage page) {
        for (StoreRecord found : page.records()) {
            byte[] value = found.value();
            if (found.key().equals(key) && value != null) {
                revision = found.revision();
                return decode(value);
            }
        }
        revision = StoreRevision.NONE;
        return new TreeMap<>();
    }

    /**
     * Replaces the contents. If this fails for any reason, the ledger has to be read again.
     *
     * @param token the fencing token of the writer
     * @param reports the newest decided window, and those that may not have been accepted
     */
    CompletableFuture<Void> write(long token, Collection<Report> reports) {
        return store.put(key, encode(token, reports), Optional.of(revision), StoreLease.NONE)
                .thenAccept(written -> revision = written);
    }

    /** Returns the newest decided window of a record, or empty if the record contains none. */
    static OptionalLong newestWindow(byte[] value) {
        TreeMap<Long, Report> reports = decode(value);
        return reports.isEmpty() ? OptionalLong.empty() : OptionalLong.of(reports.lastKey());
    }

    static byte[] encode(long token, Collection<Report> reports) {
        // The field for the run of a counting daemon holds the token, which tells an operator who wrote the record.
        UsageCounts.Builder message = UsageCounts.newBuilder().setIncarnation(token);
        reports.forEach(report -> message.addWindows(UsageMessages.toMessage(report.window(), report.counts(), true)));
        return message.build().toByteArray();
    }

    static TreeMap<Long, Report> decode(byte[] value) {
        TreeMap<Long, Report> reports = new TreeMap<>();
        try {
            UsageCounts.parseFrom(value)
                    .getWindowsList()
                    .forEach(window -> reports.put(
                            window.getWindow(),
                            new Report(window.getWindow(), new TreeMap<>(UsageMessages.counts(window)))));
        } catch (InvalidProtocolBufferException exception) {
            // Written by someone else; it is replaced with the next decision.
            return new TreeMap<>();
        }
        return reports;
    }
}
