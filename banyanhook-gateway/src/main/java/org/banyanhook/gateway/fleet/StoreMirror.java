package org.banyanhook.gateway.fleet;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.banyanhook.core.store.StoreRevision;
import org.banyanhook.gateway.operation.DecisionLog;
import org.banyanhook.gateway.operation.GatewayMetrics;
import org.banyanhook.gateway.port.RecordStore;
import org.banyanhook.gateway.port.StoreException;
import org.banyanhook.gateway.port.StorePage;
import org.banyanhook.gateway.port.StoreRecord;
import org.jspecify.annotations.Nullable;

/** Keeps the fleet directory up to date: reads all records once, then watches for changes. Runs on the event loop. */
public final class StoreMirror implements DaemonRegistration.RecordReader {

    /**
     * How long the store may wait for a change. A watch that the store has lost is detected only after the wait if no
     * other call fails, and each wait that ends without a change costs a call, so a large fleet waits longer. The
     * maximum stays below the time after an outage of the store within which a configuration must be in force.
     */
    private static final Duration MINIMUM_WATCH_WAIT = Duration.ofSeconds(5);

    private static final Duration WATCH_WAIT_PER_DAEMON = Duration.ofMillis(160);
    private static final Duration MAXIMUM_WATCH_WAIT = Duration.ofSeconds(9);

    /**
     * The delay between a change and the next call, so that changes close together are fetched by one call. Each daemon
     * adds changes and calls, so a large fleet waits longer. With the time of a call, the maximum is a fifth of the
     * shortest time within which a configuration must be in force.
     */
    private static final long BASE_COALESCE_MILLIS = 150;

    private static final long COALESCE_MILLIS_PER_DAEMON = 5;
    private static final long MAXIMUM_COALESCE_MILLIS = 600;

    /**
     * The same delay after a page with nothing but entries of daemons. When a large fleet starts or is restarted, each
     * daemon would otherwise be woken by all others. The maximum is half of the shortest time within which a
     * configuration must be in force.
     */
    private static final long DAEMON_COALESCE_MILLIS_PER_DAEMON = 15;

    private static final long MAXIMUM_DAEMON_COALESCE_MILLIS = 1_400;

    private static final long MINIMUM_BACKOFF_MILLIS = 150;
    private static final long MAXIMUM_BACKOFF_MILLIS = 1_000;

    private final RecordStore store;
    private final FleetDirectory directory;
    private final EventLoop eventLoop;
    private final DecisionLog log;
    private final GatewayMetrics metrics;
    private final String prefix;
    private final StoreEras eras;
    private long backoffMillis = MINIMUM_BACKOFF_MILLIS;
    private final List<CompletableFuture<Void>> pendingReloads = new ArrayList<>();
    private long readGeneration;
    private StoreRevision watchedRevision = StoreRevision.NONE;
    private StoreRevision readRevision = StoreRevision.NONE;
    private boolean watching;
    private Runnable firstReadingListener = () -> {};
    private LongSupplier coalesceLimitMillis = () -> Long.MAX_VALUE;
    private boolean complete;
    private boolean failing;
    private boolean stopped;

    /**
     * Creates a mirror.
     *
     * @param store the store
     * @param prefix the common key prefix of the records to read
     * @param directory the directory to update
     * @param eras learns which era has been read
     * @param eventLoop the event loop on which everything runs
     * @param log receives a line when contact to the store is lost or regained, and when the history is lost
     * @param metrics counts the calls
     */
    public StoreMirror(
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

    /** Sets a listener that is called when all records have been read for the first time. */
    public void onFirstReading(Runnable listener) {
        firstReadingListener = listener;
    }

    /** Sets the supplier of the maximum delay between a change and the next call, in milliseconds. */
    public void coalesceLimitMillis(LongSupplier supplier) {
        coalesceLimitMillis = supplier;
    }

    /** Starts to read all records; results of an earlier reading are discarded. */
    public void start() {
        watching = false;
        readGeneration++;
        readPage(readGeneration, new ArrayList<>(), Optional.empty(), Optional.empty());
    }

    @Override
    public CompletableFuture<Void> reloadAll() {
        CompletableFuture<Void> done = new CompletableFuture<>();
        pendingReloads.add(done);
        start();
        return done;
    }

    /**
     * {@inheritDoc} The store may have lost the watch while it did not answer other calls either; changes would then be
     * noticed only after the longest wait of a watch.
     */
    @Override
    public void restartWatch() {
        if (watching) {
            readGeneration++;
            watch(readGeneration, watchedRevision);
        }
    }

    /** Stops after the pending call. */
    public void stop() {
        stopped = true;
    }

    /** Returns whether all records have been read at least once. */
    public boolean isComplete() {
        return complete;
    }

    /** Returns the revision up to which all changes have been read. */
    public StoreRevision readRevision() {
        return readRevision;
    }

    /** Reads a page; the result is discarded if a newer reading has been started. */
    private void readPage(
            long generation, List<StoreRecord> records, Optional<String> after, Optional<StoreRevision> firstRevision) {
        store.list(prefix, after).whenComplete((page, failure) -> {
            if (isObsolete(generation)) {
                return;
            }
            if (page == null) {
                retryAfterFailure(
                        "list",
                        failure,
                        () -> readPage(generation, new ArrayList<>(), Optional.empty(), Optional.empty()),
                        generation);
                return;
            }
            if (page.truncated() && page.records().isEmpty()) {
                // The rest cannot be requested, and must not be taken for removed.
                retryAfterFailure(
                        "list",
                        new StoreException(StoreException.Kind.NO_ANSWER, "a truncated page contains no records"),
                        () -> readPage(generation, new ArrayList<>(), Optional.empty(), Optional.empty()),
                        generation);
                return;
            }
            recordSuccess("list");
            records.addAll(page.records());
            StoreRevision revision = firstRevision.orElse(page.revision());
            if (page.truncated()) {
                String last = page.records().get(page.records().size() - 1).key();
                readPage(generation, records, Optional.of(last), Optional.of(revision));
                return;
            }
            applyOrLog("all", () -> {
                directory.replaceAll(records, revision);
                return true;
            });
            readRevision = revision;
            eras.recordReading(revision.era());
            if (!complete) {
                complete = true;
                applyOrLog("first reading", () -> {
                    firstReadingListener.run();
                    return true;
                });
            }
            List.copyOf(pendingReloads).forEach(waiting -> waiting.complete(null));
            pendingReloads.clear();
            watch(generation, revision);
        });
    }

    private void watch(long generation, StoreRevision revision) {
        watching = true;
        watchedRevision = revision;
        store.watch(prefix, revision, watchWait()).whenComplete((page, failure) -> {
            if (isObsolete(generation)) {
                return;
            }
            if (page != null) {
                recordSuccess("watch");
                onChanges(generation, page, revision);
            } else if (StoreException.kind(failure) == StoreException.Kind.HISTORY_LOST) {
                recordSuccess("watch");
                log.line("store")
                        .with("change", "history-lost")
                        .with("revision", revision.toString())
                        .write();
                start();
            } else {
                retryAfterFailure("watch", failure, () -> watch(generation, revision), generation);
            }
        });
    }

    private boolean isObsolete(long generation) {
        return stopped || generation != readGeneration;
    }

    private Duration watchWait() {
        Duration forFleet = WATCH_WAIT_PER_DAEMON.multipliedBy(directory.daemonCount());
        Duration atLeast = forFleet.compareTo(MINIMUM_WATCH_WAIT) < 0 ? MINIMUM_WATCH_WAIT : forFleet;
        return atLeast.compareTo(MAXIMUM_WATCH_WAIT) > 0 ? MAXIMUM_WATCH_WAIT : atLeast;
    }

    private void onChanges(long generation, StorePage page, StoreRevision revision) {
        boolean othersChanged = applyOrLog("changes", () -> directory.apply(page.records()));
        StoreRevision next = page.revision().isAfter(revision) ? page.revision() : revision;
        readRevision = next;
        if (page.records().isEmpty()) {
            watch(generation, next);
        } else {
            schedule(coalesceMillis(!othersChanged), () -> watch(generation, next), generation);
        }
    }

    /**
     * Applies records; one that cannot be applied must not end the watch.
     *
     * @return whether anything but the entries of daemons changed, or may have changed
     */
    private boolean applyOrLog(String records, BooleanSupplier change) {
        try {
            return change.getAsBoolean();
        } catch (RuntimeException exception) {
            metrics.count("store.records", "result", "not-applied");
            log.line("fault")
                    .with("records", records)
                    .with("reason", exception.toString())
                    .write();
            return true;
        }
    }

    private long coalesceMillis(boolean onlyDaemons) {
        long daemons = directory.daemonCount();
        long millis = Math.min(MAXIMUM_COALESCE_MILLIS, BASE_COALESCE_MILLIS + COALESCE_MILLIS_PER_DAEMON * daemons);
        if (onlyDaemons) {
            millis = Math.max(
                    millis, Math.min(MAXIMUM_DAEMON_COALESCE_MILLIS, DAEMON_COALESCE_MILLIS_PER_DAEMON * daemons));
        }
        return Math.min(millis, coalesceLimitMillis.getAsLong());
    }

    private void recordSuccess(String call) {
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

    private void retryAfterFailure(String call, @Nullable Throwable failure, Runnable retry, long generation) {
        metrics.count("store.calls", "result", call + "-failed");
        if (!failing) {
            failing = true;
            log.line("dependency")
                    .with("name", "store")
                    .with("change", "lost")
                    .with("reason", String.valueOf(failure))
                    .write();
        }
        long jitterMillis = ThreadLocalRandom.current().nextLong(backoffMillis / 2 + 1);
        schedule(backoffMillis + jitterMillis, retry, generation);
        backoffMillis = Math.min(MAXIMUM_BACKOFF_MILLIS, backoffMillis * 2);
    }

    private void schedule(long millis, Runnable action, long generation) {
        var unused = eventLoop.schedule(
                () -> {
                    if (!isObsolete(generation)) {
                        action.run();
                    }
                },
                millis,
                TimeUnit.MILLISECONDS);
    }
}
