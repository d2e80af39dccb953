package org.banyanhook.gateway.reader;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.banyanhook.core.store.StoreReaders;
import org.banyanhook.core.store.StoreRevision;
import org.banyanhook.daemon.peer.PeerMessenger;
import org.banyanhook.gateway.fleet.FleetDirectory;
import org.banyanhook.gateway.fleet.StoreEras;
import org.banyanhook.gateway.operation.DecisionLog;
import org.banyanhook.gateway.operation.GatewayMetrics;
import org.banyanhook.gateway.operation.MonotonicClock;
import org.banyanhook.gateway.port.DaemonEntry;
import org.banyanhook.gateway.port.FleetRecordCodec;
import org.banyanhook.gateway.port.RecordStore;
import org.banyanhook.gateway.port.StoreException;
import org.banyanhook.gateway.port.StoreLease;
import org.banyanhook.gateway.port.StorePage;
import org.banyanhook.protocol.generated.PeerEnvelope;
import org.jspecify.annotations.Nullable;

/**
 * A store whose watches are answered by a reader of this daemon's failure domain where the fleet is large. A watch that
 * no reader answers is sent to the store. All other calls are. Confined to the event loop.
 */
public final class ReaderBackedStore implements RecordStore {

    private final Context context;
    private final ReaderDirectory readers;
    private final ReaderService service;
    private final PromotionWatch promotions;
    private final StoreReaders choice;
    private @Nullable CompletableFuture<StorePage> pending;
    private Way way = Way.STORE;

    /** Who answers the watches. */
    private enum Way {
        STORE("store"),
        READER("reader");

        private final String text;

        Way(String text) {
            this.text = text;
        }
    }

    /**
     * What the store is made of.
     *
     * @param self the entry of this daemon
     * @param store the store itself, whose answers are of the newest era
     * @param recordCodec provides the keys of promotion records
     * @param messenger exchanges messages with the readers
     * @param directory lists the daemons
     * @param eras the eras of the store
     * @param eventLoop the event loop on which everything runs
     * @param clock the monotonic clock
     * @param log receives a line when watches are answered by a reader instead of the store, or the reverse
     * @param metrics counts the watches
     */
    public record Context(
            DaemonEntry self,
            RecordStore store,
            FleetRecordCodec recordCodec,
            PeerMessenger messenger,
            FleetDirectory directory,
            StoreEras eras,
            EventLoop eventLoop,
            MonotonicClock clock,
            DecisionLog log,
            GatewayMetrics metrics) {}

    /**
     * Creates a store, and starts to answer the requests of other daemons.
     *
     * @param context what it is made of
     */
    public ReaderBackedStore(Context context) {
        this.context = context;
        this.readers = new ReaderDirectory(context.self(), context.directory());
        this.service =
                new ReaderService(readers, context.eras(), context.eventLoop(), context.clock(), context.metrics());
        this.promotions = new PromotionWatch(
                context.store(),
                context.recordCodec().promotionKey(""),
                context.directory(),
                context.eras(),
                context.eventLoop(),
                context.log(),
                context.metrics());
        this.choice = new StoreReaders(context.self().entryVm());
        service.serve(context.messenger());
    }

    /** Sets the listener that has all records read again, because the store no longer has the changes. */
    public void onHistoryLost(Runnable listener) {
        promotions.onHistoryLost(listener);
    }

    /** Returns the maximum time between a change and the next watch, in milliseconds. */
    public long coalesceLimitMillis() {
        return readers.isReader() ? StoreReaders.READER_COALESCE.toMillis() : Long.MAX_VALUE;
    }

    /** Notices pauses of the process. To be called every 200 ms. */
    public void tick() {
        service.tick();
    }

    /** Refuses the requests of other daemons, because this daemon is about to end. */
    public void stop() {
        service.stop();
        promotions.stop();
    }

    @Override
    public CompletableFuture<StorePage> watch(String prefix, StoreRevision afterRevision, Duration maximumWait) {
        // A watch is replaced when the store may have lost it.
        CompletableFuture<StorePage> before = pending;
        boolean replaced = before != null && !before.isDone();
        List<String> inForce = readers.readers();
        boolean isReader = inForce.contains(context.self().entryVm());
        Optional<String> reader = afterRevision.era() < context.eras().newest()
                ? Optional.empty()
                : choice.choose(inForce, context.clock().nowNanos());
        if (!isReader) {
            service.clear();
        }
        if (isReader || inForce.isEmpty()) {
            promotions.stop();
        }
        CompletableFuture<StorePage> answer;
        if (reader.isPresent()) {
            promotions.follow(afterRevision, replaced);
            answer = askReader(reader.get(), prefix, afterRevision, maximumWait);
        } else {
            String reason = isReader ? "reader" : inForce.isEmpty() ? "not in force" : "no reader is available";
            answer = askStore(prefix, afterRevision, maximumWait, isReader, reason);
        }
        pending = answer;
        return answer;
    }

    private CompletableFuture<StorePage> askStore(
            String prefix, StoreRevision after, Duration maximumWait, boolean isReader, String reason) {
        recordWay(Way.STORE, reason);
        context.metrics().count("store.watches", "way", "store");
        boolean isBounded = isReader && maximumWait.compareTo(StoreReaders.READER_WATCH_WAIT) > 0;
        long sentNanos = context.clock().nowNanos();
        return context.store()
                .watch(prefix, after, isBounded ? StoreReaders.READER_WATCH_WAIT : maximumWait)
                .whenComplete((page, failure) -> {
                    if (StoreException.kind(failure) == StoreException.Kind.HISTORY_LOST) {
                        service.clear();
                    } else if (page != null && isReader) {
                        service.recordAnswer(after, page, sentNanos);
                    }
                });
    }

    private CompletableFuture<StorePage> askReader(
            String reader, String prefix, StoreRevision after, Duration maximumWait) {
        return context.messenger()
                .request(readers.addressOf(reader), ChangeMessages.request(after), StoreReaders.ANSWER_TIMEOUT)
                .handleAsync(
                        (reply, failure) -> reply == null ? PeerEnvelope.getDefaultInstance() : reply,
                        context.eventLoop())
                .thenCompose(reply -> {
                    boolean answered = reply.hasStoreChanges();
                    Optional<StorePage> page =
                            answered ? ChangeMessages.toPage(reply.getStoreChanges(), after) : Optional.empty();
                    if (page.isEmpty()) {
                        choice.recordFailure(reader, answered, context.clock().nowNanos());
                        context.metrics().count("store.watches", "way", answered ? "reader-refused" : "reader-silent");
                        return askStore(
                                prefix,
                                after,
                                maximumWait,
                                false,
                                reader + (answered ? " is not available" : " does not answer"));
                    }
                    if (after.era() < context.eras().newest()) {
                        return CompletableFuture.failedFuture(new StoreException(
                                StoreException.Kind.NO_ANSWER,
                                "the store was restored while " + reader + " was asked"));
                    }
                    choice.recordAnswer(reader);
                    context.metrics().count("store.watches", "way", "reader");
                    recordWay(Way.READER, reader);
                    return CompletableFuture.completedFuture(page.get());
                });
    }

    private void recordWay(Way newWay, String reason) {
        if (newWay != way) {
            way = newWay;
            context.log()
                    .line("store-way")
                    .with("change", newWay.text)
                    .with("reason", reason)
                    .write();
        }
    }

    @Override
    public CompletableFuture<StorePage> list(String prefix, Optional<String> afterKey) {
        return context.store().list(prefix, afterKey);
    }

    @Override
    public CompletableFuture<StoreRevision> put(
            String key, byte[] value, Optional<StoreRevision> expectedRevision, StoreLease lease) {
        return context.store().put(key, value, expectedRevision, lease);
    }

    @Override
    public CompletableFuture<StoreRevision> putGuarded(
            String key, byte[] value, StoreRevision expectedRevision, Map<String, StoreRevision> guards) {
        return context.store().putGuarded(key, value, expectedRevision, guards);
    }

    @Override
    public CompletableFuture<StoreLease> openLease(Duration timeToLive) {
        return context.store().openLease(timeToLive);
    }

    @Override
    public CompletableFuture<Void> renewLease(StoreLease lease) {
        return context.store().renewLease(lease);
    }

    @Override
    public CompletableFuture<Void> endLease(StoreLease lease) {
        return context.store().endLease(lease);
    }
}
