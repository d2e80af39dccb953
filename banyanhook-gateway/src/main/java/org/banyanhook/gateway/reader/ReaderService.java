package org.banyanhook.gateway.reader;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.banyanhook.core.store.StoreChangeLog;
import org.banyanhook.core.store.StoreChangeLog.Coverage;
import org.banyanhook.core.store.StoreReaders;
import org.banyanhook.core.store.StoreRevision;
import org.banyanhook.daemon.peer.PeerMessenger;
import org.banyanhook.gateway.fleet.StoreEras;
import org.banyanhook.gateway.operation.GatewayMetrics;
import org.banyanhook.gateway.operation.MonotonicClock;
import org.banyanhook.gateway.port.StorePage;
import org.banyanhook.gateway.port.StoreRecord;
import org.banyanhook.protocol.generated.PeerEnvelope;
import org.banyanhook.protocol.generated.StoreChangesRequest;

/**
 * Answers the watches of other daemons from the changes that this daemon's own watch of the store returned. Whatever
 * the other daemons take this one for, an answer is complete or says that this daemon is not available. Confined to the
 * event loop.
 */
final class ReaderService {

    /** Members of a large fleet make about 15 changes per second, so the changes of two minutes are kept. */
    private static final int MAXIMUM_CHANGES = 2_000;

    /** Bounds the memory and the longest answer. */
    private static final long MAXIMUM_BYTES = 1 << 20;

    /** Exceeds the number of daemons of a failure domain; further requests are refused. */
    private static final int MAXIMUM_HELD = 256;

    /** A longer time between two periodic checks, which are 200 ms apart, is a pause of the process. */
    private static final long PAUSE_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final ReaderDirectory readers;
    private final StoreEras eras;
    private final EventLoop eventLoop;
    private final MonotonicClock clock;
    private final GatewayMetrics metrics;
    private final StoreChangeLog<StoreRecord> changes = new StoreChangeLog<>(MAXIMUM_CHANGES, MAXIMUM_BYTES);
    private final List<HeldRequest> held = new ArrayList<>();
    private long lastTickNanos;
    private boolean stopped;

    private record HeldRequest(StoreRevision after, CompletableFuture<PeerEnvelope> answer) {}

    ReaderService(
            ReaderDirectory readers,
            StoreEras eras,
            EventLoop eventLoop,
            MonotonicClock clock,
            GatewayMetrics metrics) {
        this.readers = readers;
        this.eras = eras;
        this.eventLoop = eventLoop;
        this.clock = clock;
        this.metrics = metrics;
        this.lastTickNanos = clock.nowNanos();
        clock.addJumpListener(this::clear);
    }

    void serve(PeerMessenger messenger) {
        messenger.registerHandler(PeerEnvelope.BodyCase.STORE_CHANGES_REQUEST, message -> {
            CompletableFuture<PeerEnvelope> answer = new CompletableFuture<>();
            eventLoop.execute(() -> accept(message, answer));
            return answer;
        });
    }

    /** Adds the answer of the store to a watch of this daemon. */
    void recordAnswer(StoreRevision after, StorePage page, long sentNanos) {
        if (stopped || page.truncated() || clock.jumpedSince(sentNanos)) {
            clear();
            return;
        }
        checkPause();
        changes.append(
                after,
                page.revision(),
                page.records().stream().map(ChangeMessages::toChange).toList(),
                sentNanos);
        for (HeldRequest request : List.copyOf(held)) {
            StoreChangeLog.Changes<StoreRecord> found = find(request.after());
            if (found.coverage() == Coverage.UNAVAILABLE || !found.changes().isEmpty()) {
                complete(request, found);
            }
        }
    }

    /** Forgets all changes, and refuses the requests that are held. */
    void clear() {
        changes.clear();
        List.copyOf(held).forEach(request -> complete(request, find(request.after())));
    }

    /** Refuses all requests from now on. */
    void stop() {
        stopped = true;
        clear();
    }

    /** Notices pauses of the process. To be called every 200 ms. */
    void tick() {
        checkPause();
        lastTickNanos = clock.nowNanos();
    }

    /** Discards what was read before a pause; requests may be read before the first periodic check after it. */
    private void checkPause() {
        long now = clock.nowNanos();
        if (now - lastTickNanos >= PAUSE_NANOS) {
            lastTickNanos = now;
            changes.recordPause(now);
        }
    }

    private void accept(PeerEnvelope message, CompletableFuture<PeerEnvelope> answer) {
        checkPause();
        StoreChangesRequest request = message.getStoreChangesRequest();
        if (request.getStoreEra() < 0
                || request.getKnownRevision() < 0
                || stopped
                || readers.readers().contains(message.getSenderEntryVm())) {
            // A reader reads the store itself, so that no change passes through two readers.
            complete(new HeldRequest(StoreRevision.NONE, answer), unavailable());
            return;
        }
        HeldRequest asked =
                new HeldRequest(new StoreRevision(request.getStoreEra(), request.getKnownRevision()), answer);
        StoreChangeLog.Changes<StoreRecord> found = find(asked.after());
        long maximumMillis = StoreReaders.MAXIMUM_HOLD.toMillis();
        long wantedMillis = request.getMaximumWaitMillis();
        long holdMillis = Math.min(
                wantedMillis < 0 ? maximumMillis : Math.min(wantedMillis, maximumMillis),
                TimeUnit.NANOSECONDS.toMillis(changes.remainingNanos(clock.nowNanos())) + 1);
        if (found.coverage() == Coverage.UNAVAILABLE
                || !found.changes().isEmpty()
                || holdMillis <= 0
                || held.size() >= MAXIMUM_HELD) {
            complete(asked, found);
            return;
        }
        held.add(asked);
        var unused = eventLoop.schedule(
                () -> {
                    if (!asked.answer().isDone()) {
                        checkPause();
                        complete(asked, find(asked.after()));
                    }
                },
                holdMillis,
                TimeUnit.MILLISECONDS);
    }

    private StoreChangeLog.Changes<StoreRecord> find(StoreRevision after) {
        return changes.since(after, eras.newest(), clock.nowNanos());
    }

    private static StoreChangeLog.Changes<StoreRecord> unavailable() {
        return new StoreChangeLog.Changes<>(Coverage.UNAVAILABLE, List.of(), StoreRevision.NONE);
    }

    private void complete(HeldRequest request, StoreChangeLog.Changes<StoreRecord> found) {
        held.remove(request);
        metrics.count(
                "store.reader.answers", "result", found.coverage() == Coverage.COMPLETE ? "changes" : "unavailable");
        request.answer().complete(ChangeMessages.answer(found));
    }
}
