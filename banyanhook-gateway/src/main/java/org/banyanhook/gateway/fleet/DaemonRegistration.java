package org.banyanhook.gateway.fleet;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.banyanhook.gateway.operation.DecisionLog;
import org.banyanhook.gateway.operation.GatewayMetrics;
import org.banyanhook.gateway.operation.MonotonicClock;
import org.banyanhook.gateway.port.RecordStore;
import org.banyanhook.gateway.port.StoreException;
import org.banyanhook.gateway.port.StoreLease;
import org.jspecify.annotations.Nullable;

/**
 * Keeps this daemon's entry in the store under a lease. A renewal costs a tenth of a call, so it also serves as the
 * check whether the store is reachable. Runs on the event loop.
 */
public final class DaemonRegistration {

    /** How long the entry remains after this daemon has stopped renewing the lease. */
    private static final Duration LEASE_TIME_TO_LIVE = Duration.ofSeconds(5);

    private static final long RENEWAL_INTERVAL_MILLIS = 1_000;
    private static final long RETRY_DELAY_MILLIS = 400;

    /** The number of renewals without an entry after which it is written again; exceeds the delay of the watch. */
    private static final int RENEWALS_BEFORE_REWRITE = 5;

    private final RecordStore store;
    private final String key;
    private final byte[] value;
    private final RecordReader recordReader;
    private final EventLoop eventLoop;
    private final MonotonicClock clock;
    private final DecisionLog log;
    private final GatewayMetrics metrics;
    private StoreLease lease = StoreLease.NONE;
    private long lastContactNanos;
    private boolean contactEstablished;
    private boolean lastCallFailed;
    private Runnable contactListener = () -> {};
    private Supplier<Optional<StoreLease>> entryLease = () -> Optional.of(lease);
    private LongSupplier restoreDelayLimitMillis = () -> 0;
    private boolean restored;
    private long generation;
    private int renewalsWithoutEntry;
    private boolean stopped;

    /** Reads the records of the store. */
    public interface RecordReader {
        /**
         * Reads all records again.
         *
         * @return a future that completes when all records have been read
         */
        CompletableFuture<Void> reloadAll();

        /** Sends the pending watch again. */
        void restartWatch();
    }

    /**
     * Creates a registration.
     *
     * @param store the store
     * @param key the key of the entry
     * @param value the entry
     * @param recordReader reads the records again after the store was not reachable
     * @param eventLoop the event loop on which everything runs
     * @param clock the monotonic clock
     * @param log receives a line for each new or expired lease and each failed call
     * @param metrics counts the calls
     */
    public DaemonRegistration(
            RecordStore store,
            String key,
            byte[] value,
            RecordReader recordReader,
            EventLoop eventLoop,
            MonotonicClock clock,
            DecisionLog log,
            GatewayMetrics metrics) {
        this.store = store;
        this.key = key;
        this.value = value.clone();
        this.recordReader = recordReader;
        this.eventLoop = eventLoop;
        this.clock = clock;
        this.log = log;
        this.metrics = metrics;
        clock.addJumpListener(() -> eventLoop.execute(this::renewAfterSuspension));
    }

    /** Sets a listener that is called when contact is established, and when it is regained after a failed call. */
    public void onContact(Runnable listener) {
        contactListener = listener;
    }

    /** Sets the supplier of the lease of this daemon's entry as it was read from the store; empty without an entry. */
    public void entryLease(Supplier<Optional<StoreLease>> supplier) {
        entryLease = supplier;
    }

    /**
     * Sets the supplier of the maximum random delay before the entry is written again in a new era, in milliseconds.
     */
    public void restoreDelayLimitMillis(LongSupplier supplier) {
        restoreDelayLimitMillis = supplier;
    }

    /**
     * Reads all records again after the store was restored from a copy, and then writes the entry under a new lease.
     * The former lease is neither renewed nor ended, since its identifier may stand for another one now. Until the
     * entry is written, no answer counts as contact, since other daemons can only shut out a daemon that has a lease.
     * The last contact of the former era counts until it is too old, as if the store did not answer: a daemon that
     * replaces a primary waits as long for an entry that has ended. The delay of the write is random, so that the
     * daemons of a large fleet do not write at the same time.
     */
    public void onStoreRestored() {
        if (stopped) {
            return;
        }
        boolean started = generation > 0;
        generation++;
        lease = StoreLease.NONE;
        renewalsWithoutEntry = 0;
        restored = true;
        lastCallFailed = false;
        long current = generation;
        recordReader.reloadAll().thenRun(() -> {
            if (started && isCurrent(current)) {
                long limitMillis = restoreDelayLimitMillis.getAsLong();
                schedule(ThreadLocalRandom.current().nextLong(limitMillis + 1), () -> start(current));
            }
        });
    }

    /** Opens a lease and writes the entry; retries until it succeeds. */
    public void start() {
        generation++;
        start(generation);
    }

    private void start(long current) {
        if (!isCurrent(current)) {
            return;
        }
        long sentNanos = clock.nowNanos();
        openLease()
                .thenCompose(opened -> store.put(key, value, Optional.empty(), opened))
                .whenComplete((revision, failure) -> {
                    if (!isCurrent(current)) {
                        return;
                    }
                    if (failure != null) {
                        if (StoreException.kind(failure) == StoreException.Kind.LEASE_ENDED) {
                            lease = StoreLease.NONE;
                        }
                        retryAfterFailure(failure, () -> start(current));
                        return;
                    }
                    recordContact(sentNanos);
                    log.line("registration")
                            .with("lease", lease.id())
                            .with("revision", revision.number())
                            .write();
                    schedule(RENEWAL_INTERVAL_MILLIS, () -> renew(current));
                });
    }

    /**
     * Opens a lease unless one is open from an earlier attempt. A write that got no answer may be executed later; if it
     * named another lease, the entry would end with that lease while this daemon renews its own.
     */
    private CompletableFuture<StoreLease> openLease() {
        if (!lease.isNone()) {
            return CompletableFuture.completedFuture(lease);
        }
        return store.openLease(LEASE_TIME_TO_LIVE).thenApply(opened -> {
            lease = opened;
            return opened;
        });
    }

    /** Ends the lease, so that the entry disappears at once instead of expiring. */
    public CompletableFuture<Void> stop() {
        stopped = true;
        return lease.isNone() ? CompletableFuture.completedFuture(null) : store.endLease(lease);
    }

    /** Returns the time since the last call that the store answered, in nanoseconds; very large if it never did. */
    public long nanosSinceContact() {
        return contact() == StoreContact.MEASURED ? clock.nowNanos() - lastContactNanos : Long.MAX_VALUE / 2;
    }

    /** Returns what is known of the time since the last call that the store answered. */
    public StoreContact contact() {
        if (!contactEstablished) {
            return StoreContact.NONE_SINCE_START;
        }
        // The clock does not count a suspension, in which a primary may have been replaced.
        return clock.jumpedSince(lastContactNanos) ? StoreContact.SUSPENDED : StoreContact.MEASURED;
    }

    /** Returns when the last call was sent that the store answered; far in the past if it never did. */
    public long lastContactNanos() {
        return clock.nowNanos() - nanosSinceContact();
    }

    private void renew(long current) {
        if (!isCurrent(current)) {
            return;
        }
        long sentNanos = clock.nowNanos();
        store.renewLease(lease).whenComplete((done, failure) -> {
            if (!isCurrent(current)) {
                return;
            }
            if (failure == null) {
                recordContact(sentNanos);
                schedule(RENEWAL_INTERVAL_MILLIS, () -> renew(current));
                if (hasLostEntry()) {
                    rewriteEntry();
                }
            } else if (StoreException.kind(failure) == StoreException.Kind.LEASE_ENDED) {
                log.line("registration")
                        .with("lease", lease.id())
                        .with("change", "lapsed")
                        .write();
                lease = StoreLease.NONE;
                // The lease may have been revoked because a primary is being replaced, so read the records before
                // registering.
                lastCallFailed = false;
                recordReader.reloadAll().thenRun(() -> start(current));
            } else {
                retryAfterFailure(failure, () -> renew(current));
            }
        });
    }

    /**
     * Returns whether the entry has been missing, or has belonged to another lease, for several renewals. A write by
     * the predecessor of this process that the store executes late replaces the entry, which then ends with that lease.
     */
    private boolean hasLostEntry() {
        if (entryLease.get().filter(lease::equals).isPresent()) {
            renewalsWithoutEntry = 0;
            return false;
        }
        renewalsWithoutEntry++;
        if (renewalsWithoutEntry < RENEWALS_BEFORE_REWRITE) {
            return false;
        }
        renewalsWithoutEntry = 0;
        return true;
    }

    /** Writes the entry again. If that fails, it is tried again after as many renewals. */
    private void rewriteEntry() {
        log.line("registration")
                .with("lease", lease.id())
                .with("change", "entry-lost")
                .write();
        store.put(key, value, Optional.empty(), lease)
                .whenComplete((revision, failure) ->
                        metrics.count("store.calls", "result", failure == null ? "entry-answered" : "entry-failed"));
    }

    /** Renews the lease at once, since primaries are not used until the store has answered after the suspension. */
    private void renewAfterSuspension() {
        if (stopped || lease.isNone() || restored) {
            return;
        }
        long current = generation;
        long sentNanos = clock.nowNanos();
        store.renewLease(lease).whenComplete((done, failure) -> {
            if (failure == null && isCurrent(current)) {
                recordContact(sentNanos);
                notifyContactListener();
            }
        });
    }

    /** Returns whether a call belongs to the newest start of this registration, so that its answer counts. */
    private boolean isCurrent(long current) {
        return !stopped && generation == current;
    }

    private void recordContact(long sentNanos) {
        metrics.count("store.calls", "result", "lease-answered");
        boolean regained = lastCallFailed;
        boolean registeredAgain = restored;
        restored = false;
        boolean established = !contactEstablished;
        contactEstablished = true;
        lastCallFailed = false;
        lastContactNanos = sentNanos;
        if (regained) {
            recordReader.restartWatch();
        }
        if (regained || established || registeredAgain) {
            notifyContactListener();
        }
    }

    /** Calls the listener; an exception must not end the renewals. */
    private void notifyContactListener() {
        try {
            contactListener.run();
        } catch (RuntimeException exception) {
            log.line("fault").with("reason", exception.toString()).write();
        }
    }

    private void retryAfterFailure(@Nullable Throwable failure, Runnable retry) {
        metrics.count("store.calls", "result", "lease-failed");
        lastCallFailed = true;
        log.line("registration")
                .with("change", "failed")
                .with("reason", String.valueOf(failure))
                .write();
        schedule(RETRY_DELAY_MILLIS, retry);
    }

    private void schedule(long millis, Runnable action) {
        var unused = eventLoop.schedule(action, millis, TimeUnit.MILLISECONDS);
    }
}
