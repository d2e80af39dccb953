package org.banyanhook.gateway.fleet;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.banyanhook.gateway.operation.DecisionLog;
import org.banyanhook.gateway.operation.GatewayMetrics;
import org.banyanhook.gateway.port.RecordStore;
import org.banyanhook.gateway.port.StoreException;
import org.banyanhook.gateway.port.StorePage;
import org.banyanhook.gateway.port.StoreRecord;
import org.jspecify.annotations.Nullable;

/** Keeps the fleet directory up to date: reads all records once, then follows the changes. Runs on the event loop. */
public final class StoreMirror {

    /** How long the store may wait for a change; the longer, the fewer calls. */
    private static final Duration WATCH_WAIT = Duration.ofSeconds(25);

    /**
     * Changes close together are fetched by one call; well below the time in which a configuration must be in force.
     */
    private static final long COALESCE_MILLIS = 150;

    private static final long MINIMUM_BACKOFF_MILLIS = 150;
    private static final long MAXIMUM_BACKOFF_MILLIS = 1_000;

    private final RecordStore store;
    private final FleetDirectory directory;
    private final EventLoop eventLoop;
    private final DecisionLog log;
    private final GatewayMetrics metrics;
    private final String prefix;
    private long backoffMillis = MINIMUM_BACKOFF_MILLIS;
    private boolean complete;
    private boolean failing;
    private boolean stopped;

    /**
     * Creates a mirror.
     *
     * @param store the store
     * @param prefix what the keys of all records of interest begin with
     * @param directory what to keep up to date
     * @param eventLoop where everything runs
     * @param log receives a line for each lost and regained contact
     * @param metrics counts the calls
     */
    public StoreMirror(
            RecordStore store,
            String prefix,
            FleetDirectory directory,
            EventLoop eventLoop,
            DecisionLog log,
            GatewayMetrics metrics) {
        this.store = store;
        this.prefix = prefix;
        this.directory = directory;
        this.eventLoop = eventLoop;
        this.log = log;
        this.metrics = metrics;
    }

    /** Starts to read. */
    public void start() {
        list(new ArrayList<>(), Optional.empty(), -1);
    }

    /** Ends after the call under way. */
    public void stop() {
        stopped = true;
    }

    /** Returns whether all records have been read once. */
    public boolean isComplete() {
        return complete;
    }

    private void list(List<StoreRecord> found, Optional<String> after, long firstRevision) {
        store.list(prefix, after).whenComplete((page, failure) -> {
            if (stopped) {
                return;
            }
            if (page == null) {
                failed("list", failure, () -> list(new ArrayList<>(), Optional.empty(), -1));
                return;
            }
            succeeded("list");
            found.addAll(page.records());
            long revision = firstRevision < 0 ? page.revision() : firstRevision;
            if (page.truncated() && !page.records().isEmpty()) {
                String last = page.records().get(page.records().size() - 1).key();
                list(found, Optional.of(last), revision);
                return;
            }
            directory.replaceAll(found, revision);
            complete = true;
            watch(revision);
        });
    }

    private void watch(long revision) {
        store.watch(prefix, revision, WATCH_WAIT).whenComplete((page, failure) -> {
            if (stopped) {
                return;
            }
            if (page != null) {
                succeeded("watch");
                onChanges(page, revision);
            } else if (kind(failure) == StoreException.Kind.HISTORY_LOST) {
                succeeded("watch");
                log.line("store")
                        .with("change", "history-lost")
                        .with("revision", revision)
                        .write();
                start();
            } else {
                failed("watch", failure, () -> watch(revision));
            }
        });
    }

    private void onChanges(StorePage page, long revision) {
        page.records().forEach(directory::apply);
        long next = Math.max(revision, page.revision());
        if (page.records().isEmpty()) {
            watch(next);
        } else {
            later(COALESCE_MILLIS, () -> watch(next));
        }
    }

    private void succeeded(String call) {
        metrics.count("store.calls", "result", call + "-answered");
        backoffMillis = MINIMUM_BACKOFF_MILLIS;
        if (failing) {
            failing = false;
            log.line("dependency")
                    .with("name", "store")
                    .with("change", "regained")
                    .write();
        }
    }

    private void failed(String call, @Nullable Throwable failure, Runnable again) {
        metrics.count("store.calls", "result", call + "-failed");
        if (!failing) {
            failing = true;
            log.line("dependency")
                    .with("name", "store")
                    .with("change", "lost")
                    .with("reason", String.valueOf(failure))
                    .write();
        }
        long spread = ThreadLocalRandom.current().nextLong(backoffMillis / 2 + 1);
        later(backoffMillis + spread, again);
        backoffMillis = Math.min(MAXIMUM_BACKOFF_MILLIS, backoffMillis * 2);
    }

    private void later(long millis, Runnable action) {
        var unused = eventLoop.schedule(
                () -> {
                    if (!stopped) {
                        action.run();
                    }
                },
                millis,
                TimeUnit.MILLISECONDS);
    }

    static StoreException.@Nullable Kind kind(@Nullable Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof StoreException store ? store.kind() : null;
    }
}
