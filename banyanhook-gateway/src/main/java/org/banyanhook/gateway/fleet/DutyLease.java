package org.banyanhook.gateway.fleet;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.banyanhook.core.store.StoreRevision;
import org.banyanhook.gateway.operation.DecisionLog;
import org.banyanhook.gateway.operation.MonotonicClock;
import org.banyanhook.gateway.port.RecordStore;
import org.banyanhook.gateway.port.StoreException;
import org.banyanhook.gateway.port.StoreLease;

/**
 * The lease of a duty that one daemon performs at a time: a record in the store under a store lease. The revision of
 * the record grows whenever the holder changes, so it serves as the fencing token. Used on the event loop only.
 */
public final class DutyLease {

    /** How long before its expiry in the store the lease is considered expired here. */
    private static final long EXPIRY_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    private final RecordStore store;
    private final String key;
    private final byte[] value;
    private final String event;
    private final String subject;
    private final Duration timeToLive;
    private final Supplier<Optional<StoreLease>> formerLease;
    private final MonotonicClock clock;
    private final DecisionLog log;
    private StoreLease lease = StoreLease.NONE;
    private StoreRevision recordRevision = StoreRevision.NONE;
    private long expiresAtNanos;
    private boolean held;

    /**
     * Creates a lease that is not held.
     *
     * @param store the store
     * @param key the key of the lease record
     * @param value the lease record with the name of this daemon
     * @param event the event of the log lines
     * @param subject the subject of the duty, for the log
     * @param timeToLive how long the lease lasts without renewal
     * @param formerLease returns the lease of this duty that this daemon holds according to the store, or empty
     * @param clock the monotonic clock
     * @param log receives a line when the lease is acquired
     */
    public DutyLease(
            RecordStore store,
            String key,
            byte[] value,
            String event,
            String subject,
            Duration timeToLive,
            Supplier<Optional<StoreLease>> formerLease,
            MonotonicClock clock,
            DecisionLog log) {
        this.store = store;
        this.key = key;
        this.value = value.clone();
        this.event = event;
        this.subject = subject;
        this.timeToLive = timeToLive;
        this.formerLease = formerLease;
        this.clock = clock;
        this.log = log;
        clock.addJumpListener(() -> held = false);
    }

    /**
     * Acquires or renews the lease.
     *
     * @return the revision of the lease record, whose fencing token the holder uses; fails if another daemon holds the
     *     lease or the store does not answer
     */
    public CompletableFuture<StoreRevision> acquire() {
        long sentNanos = clock.nowNanos();
        if (isHeld()) {
            return store.renewLease(lease).thenApply(done -> {
                expiresAtNanos = sentNanos + timeToLive.toNanos() - EXPIRY_MARGIN_NANOS;
                return recordRevision;
            });
        }
        return endFormerLease()
                .thenCompose(done -> store.openLease(timeToLive))
                .thenCompose(opened -> store.put(key, value, Optional.of(StoreRevision.NONE), opened)
                        .exceptionallyCompose(failure -> endUnconfirmedLease(opened, failure))
                        .thenApply(revision -> {
                            lease = opened;
                            recordRevision = revision;
                            held = !clock.jumpedSince(sentNanos);
                            expiresAtNanos = sentNanos + timeToLive.toNanos() - EXPIRY_MARGIN_NANOS;
                            log.line(event)
                                    .with("group", subject)
                                    .with("token", revision.fencingToken())
                                    .with("change", "taken")
                                    .write();
                            return revision;
                        }));
    }

    /**
     * Ends a lease of this daemon that it does not know of any more: one that it held before a restart, or whose record
     * was written although the answer was lost. It would otherwise block every daemon until it expires.
     */
    public CompletableFuture<Void> endFormerLease() {
        Optional<StoreLease> former = formerLease.get();
        return former.isEmpty()
                ? CompletableFuture.completedFuture(null)
                : store.endLease(former.get()).exceptionallyCompose(DutyLease::ignoreEndedLease);
    }

    /** Ends a lease whose record may still be written although no answer came, so that a late write has no effect. */
    private CompletableFuture<StoreRevision> endUnconfirmedLease(StoreLease opened, Throwable failure) {
        if (StoreException.kind(failure) == StoreException.Kind.NO_ANSWER) {
            var unused = store.endLease(opened).exceptionallyCompose(DutyLease::ignoreEndedLease);
        }
        return CompletableFuture.failedFuture(failure);
    }

    /**
     * Returns success if the failure says that the lease has ended already, else the failure.
     *
     * @param failure why the lease could not be ended
     */
    public static CompletableFuture<Void> ignoreEndedLease(Throwable failure) {
        return StoreException.kind(failure) == StoreException.Kind.LEASE_ENDED
                ? CompletableFuture.completedFuture(null)
                : CompletableFuture.failedFuture(failure);
    }

    /** Stops holding the lease without a call: the store has lost it, and may issue its identifier again. */
    public void drop() {
        held = false;
    }

    /**
     * Gives the lease up and removes its record.
     *
     * @return a future that completes when the lease has ended in the store
     */
    public CompletableFuture<Void> release() {
        held = false;
        return store.endLease(lease).exceptionallyCompose(DutyLease::ignoreEndedLease);
    }

    /** Returns whether this daemon holds the lease and it cannot have expired yet. */
    public boolean isHeld() {
        // Reading the clock may reveal a suspension, which ends the lease.
        long now = clock.nowNanos();
        return held && now - expiresAtNanos < 0;
    }
}
