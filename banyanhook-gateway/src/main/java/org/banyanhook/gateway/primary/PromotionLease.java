package org.banyanhook.gateway.primary;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.banyanhook.core.primary.GrantedVotes;
import org.banyanhook.gateway.operation.DecisionLog;
import org.banyanhook.gateway.operation.MonotonicClock;
import org.banyanhook.gateway.port.RecordStore;

/**
 * The lease that allows a daemon to promote members, held by one daemon at a time: a record in the store under a store
 * lease. The revision of the record grows whenever the holder changes, so it serves as the fencing token. Used on the
 * event loop only.
 */
public final class PromotionLease {

    /** How long the lease lasts without renewal. */
    private static final Duration TIME_TO_LIVE = GrantedVotes.PROMOTION_LEASE_DURATION;

    /** How long before its expiry in the store the lease is considered expired here. */
    private static final long EXPIRY_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    private final RecordStore store;
    private final String key;
    private final String holder;
    private final MonotonicClock clock;
    private final DecisionLog log;
    private long leaseId;
    private long fencingToken;
    private long expiresAtNanos;
    private boolean held;

    /**
     * Creates a lease that is not held.
     *
     * @param store the store
     * @param key the key of the lease record
     * @param holder the name of this daemon
     * @param clock the monotonic clock
     * @param log receives a line when the lease is acquired
     */
    public PromotionLease(RecordStore store, String key, String holder, MonotonicClock clock, DecisionLog log) {
        this.store = store;
        this.key = key;
        this.holder = holder;
        this.clock = clock;
        this.log = log;
        clock.addJumpListener(() -> held = false);
    }

    /**
     * Acquires or renews the lease.
     *
     * @return the fencing token; fails if another daemon holds the lease or the store does not answer
     */
    public CompletableFuture<Long> acquire() {
        long sentNanos = clock.nowNanos();
        if (isHeld()) {
            return store.renewLease(leaseId).thenApply(done -> {
                expiresAtNanos = sentNanos + TIME_TO_LIVE.toNanos() - EXPIRY_MARGIN_NANOS;
                return fencingToken;
            });
        }
        return store.openLease(TIME_TO_LIVE)
                .thenCompose(opened -> store.put(
                                key, holder.getBytes(StandardCharsets.UTF_8), OptionalLong.of(0), opened)
                        .thenApply(revision -> {
                            leaseId = opened;
                            fencingToken = revision;
                            held = true;
                            expiresAtNanos = sentNanos + TIME_TO_LIVE.toNanos() - EXPIRY_MARGIN_NANOS;
                            log.line("promotion-duty")
                                    .with("token", revision)
                                    .with("change", "taken")
                                    .write();
                            return revision;
                        }));
    }

    /** Returns whether this daemon holds the lease and it cannot have expired yet. */
    public boolean isHeld() {
        return held && clock.nowNanos() - expiresAtNanos < 0;
    }
}
