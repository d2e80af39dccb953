package org.banyanhook.gateway.primary;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.banyanhook.core.primary.ReplacementGrants;
import org.banyanhook.gateway.operation.DecisionLog;
import org.banyanhook.gateway.operation.SteadyClock;
import org.banyanhook.gateway.port.RecordStore;

/**
 * The right to order promotions, held by one daemon at a time: a record in the store under a lease. The record's
 * revision grows whenever the right changes hands, so it serves as the fencing token. Used on the event loop only.
 */
public final class PromotionLease {

    /** How long the right lasts without renewal. */
    private static final Duration TIME_TO_LIVE = ReplacementGrants.PROMOTION_RIGHT;

    /** The right counts as ended this long before the store ends it. */
    private static final long EXPIRY_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    private final RecordStore store;
    private final String key;
    private final String holder;
    private final SteadyClock clock;
    private final DecisionLog log;
    private long leaseId;
    private long fencingToken;
    private long expiresAtNanos;
    private boolean held;

    /**
     * Creates the right, not held.
     *
     * @param store the store
     * @param key the key of the record
     * @param holder the name of this daemon
     * @param clock the monotonic clock
     * @param log receives a line when the right is taken
     */
    public PromotionLease(RecordStore store, String key, String holder, SteadyClock clock, DecisionLog log) {
        this.store = store;
        this.key = key;
        this.holder = holder;
        this.clock = clock;
        this.log = log;
        clock.onJump(() -> held = false);
    }

    /**
     * Takes or extends the right.
     *
     * @return the fencing token; fails if another daemon holds the right or the store does not answer
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

    /** Returns whether the right certainly lasts for now. */
    public boolean isHeld() {
        return held && clock.nowNanos() - expiresAtNanos < 0;
    }
}
