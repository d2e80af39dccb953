package org.banyanhook.gateway.usage;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Collection;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongFunction;
import org.banyanhook.core.store.StoreRevision;
import org.banyanhook.core.usage.UsageReportSchedule.Report;
import org.banyanhook.gateway.port.RecordStore;
import org.banyanhook.gateway.port.StoreException;
import org.banyanhook.gateway.port.StoreLease;
import org.banyanhook.gateway.port.StorePage;
import org.banyanhook.gateway.port.StoreRecord;
import org.banyanhook.protocol.generated.UsageCounts;

/**
 * The record of the decided windows in the store. It contains the newest decided window and the older ones that may not
 * have been accepted. Each write requires the revision that was read or written last, so that of two holders only one
 * decides a window. Each era of the store has a record of its own, because the store cannot tell a revision of an older
 * era from an equal one that it has issued since. Used on the event loop only.
 */
final class UsageLedger {

    private final RecordStore store;
    private final LongFunction<String> keyOfEra;
    private StoreRevision revision = StoreRevision.NONE;
    private long era;

    /**
     * Creates a ledger whose contents are not known.
     *
     * @param store the store
     * @param keyOfEra returns the key of the record of an era; all keys begin with that of era 0
     */
    UsageLedger(RecordStore store, LongFunction<String> keyOfEra) {
        this.store = store;
        this.keyOfEra = keyOfEra;
    }

    /**
     * Reads the decided windows. If there are records of several eras, the one with the highest token applies: it
     * contains what its writer read in the others and had not been accepted.
     *
     * @return the reports by window; empty if nothing was ever decided
     */
    CompletableFuture<TreeMap<Long, Report>> read() {
        return store.list(keyOfEra.apply(0), Optional.empty()).thenApply(this::apply);
    }

    private TreeMap<Long, Report> apply(StorePage page) {
        era = page.revision().era();
        revision = StoreRevision.NONE;
        byte[] newest = new byte[0];
        for (StoreRecord found : page.records()) {
            byte[] value = found.value();
            if (value == null) {
                continue;
            }
            if (found.key().equals(keyOfEra.apply(era))) {
                revision = found.revision();
            }
            newest = token(value) >= token(newest) ? value : newest;
        }
        return decode(newest);
    }

    /**
     * Replaces the contents. If this fails for any reason, the ledger has to be read again.
     *
     * @param token the fencing token of the writer
     * @param reports the newest decided window, and those that may not have been accepted
     */
    CompletableFuture<Void> write(long token, Collection<Report> reports) {
        long readEra = era;
        return store.put(keyOfEra.apply(readEra), encode(token, reports), Optional.of(revision), StoreLease.NONE)
                .thenCompose(written -> {
                    if (written.era() != readEra) {
                        return CompletableFuture.failedFuture(new StoreException(
                                StoreException.Kind.NO_ANSWER, "the store was restored before the write"));
                    }
                    revision = written;
                    return CompletableFuture.completedFuture(null);
                });
    }

    /** Returns the newest decided window of a record, or empty if the record contains none. */
    static OptionalLong newestWindow(byte[] value) {
        TreeMap<Long, Report> reports = decode(value);
        return reports.isEmpty() ? OptionalLong.empty() : OptionalLong.of(reports.lastKey());
    }

    /** Returns the fencing token of the writer of a record, or 0 if the record cannot be decoded. */
    static long token(byte[] value) {
        try {
            return UsageCounts.parseFrom(value).getIncarnation();
        } catch (InvalidProtocolBufferException exception) {
            return 0;
        }
    }

    static byte[] encode(long token, Collection<Report> reports) {
        // The field for the run of a counting daemon holds the token, which tells who wrote the record.
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
