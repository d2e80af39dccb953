package org.banyanhook.gateway.reader;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.banyanhook.core.store.StoreRevision;
import org.banyanhook.gateway.fleet.FleetDirectory;
import org.banyanhook.gateway.fleet.StoreEras;
import org.banyanhook.gateway.operation.DecisionLog;
import org.banyanhook.gateway.operation.GatewayMetrics;
import org.banyanhook.gateway.port.RecordStore;
import org.banyanhook.gateway.port.StoreException;
import org.banyanhook.gateway.port.StorePage;

/**
 * Reads promotion records from the store itself while the other changes are read through a reader. A daemon in contact
 * with the store is assumed to have read the latest promotion record, so no other daemon may delay it. Confined to the
 * event loop.
 */
final class PromotionWatch {

    /** The longest wait of the watch of all records; without a promotion, each wait costs a call. */
    private static final Duration WATCH_WAIT = Duration.ofSeconds(9);

    private static final long MINIMUM_BACKOFF_MILLIS = 150;
    private static final long MAXIMUM_BACKOFF_MILLIS = 1_000;

    private final RecordStore store;
    private final String prefix;
    private final FleetDirectory directory;
    private final StoreEras eras;
    private final EventLoop eventLoop;
    private final DecisionLog log;
    private final GatewayMetrics metrics;
    private Runnable historyLostListener = () -> {};
    private StoreRevision after = StoreRevision.NONE;
    private long backoffMillis = MINIMUM_BACKOFF_MILLIS;
    private long generation;
    private boolean running;

    PromotionWatch(
            RecordStore store,
            String prefix,
            FleetDirectory directory,
            StoreEras eras,
            EventLoop eventLoop,
            DecisionLog log,
            GatewayMetrics metrics) {
        this.store = store;
        this.prefix = prefix;
        this.directory = directory;
        this.eras = eras;
        this.eventLoop = eventLoop;
        this.log = log;
        this.metrics = metrics;
    }

    /** Sets the listener that has all records read again, because the store no longer has the changes. */
    void onHistoryLost(Runnable listener) {
        historyLostListener = listener;
    }

    /**
     * Follows the promotion records unless it already does.
     *
     * @param from the revision up to which this daemon has read all records
     * @param again whether the pending call is sent again, because the store may have lost it
     */
    void follow(StoreRevision from, boolean again) {
        if (!running || from.era() > after.era()) {
            running = true;
            after = from;
            send();
        } else if (again) {
            send();
        }
    }

    /** Ends the watch; an answer to the pending call is ignored. */
    void stop() {
        running = false;
        generation++;
    }

    private void send() {
        generation++;
        long current = generation;
        metrics.count("store.watches", "way", "promotions");
        store.watch(prefix, after, WATCH_WAIT).whenComplete((page, failure) -> {
            if (current != generation) {
                return;
            }
            if (page != null) {
                backoffMillis = MINIMUM_BACKOFF_MILLIS;
                apply(page);
                sendLater(page.records().isEmpty() ? MINIMUM_BACKOFF_MILLIS : 0, current);
            } else if (StoreException.kind(failure) == StoreException.Kind.HISTORY_LOST) {
                stop();
                if (after.era() == eras.newest()) {
                    // In a new era all records are read again in any case.
                    historyLostListener.run();
                }
            } else {
                sendLater(backoffMillis + ThreadLocalRandom.current().nextLong(backoffMillis / 2 + 1), current);
                backoffMillis = Math.min(MAXIMUM_BACKOFF_MILLIS, backoffMillis * 2);
            }
        });
    }

    /** Applies records; one that cannot be applied must not end the watch. */
    private void apply(StorePage page) {
        try {
            directory.apply(page.records());
        } catch (RuntimeException exception) {
            log.line("fault")
                    .with("records", "promotions")
                    .with("reason", exception.toString())
                    .write();
        }
        after = page.revision().isAfter(after) ? page.revision() : after;
    }

    private void sendLater(long millis, long current) {
        var unused = eventLoop.schedule(
                () -> {
                    if (current == generation) {
                        send();
                    }
                },
                millis,
                TimeUnit.MILLISECONDS);
    }
}
