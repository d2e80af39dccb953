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
 * The right to order promotions, held by one daemon at a time: a record in the store under a lease. The record's
 * revision grows whenever the right changes hands, so it serves as the fencing token. Used on the event loop only.
 */
public final class PromotionDuty {

    /** How long the right lasts without renewal. */
    private static final Duration TIME_TO_LIVE = GrantedVotes.PROMOTION_LEASE_DURATION;

    /** The right counts as ended this long before the store ends it. */
    private static final long MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    private final RecordStore store;
    private final String key;
    private final String holder;
    private final MonotonicClock clock;
    private final DecisionLog log;
    private long lease;
    private long token;
    private long endsNanos;
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
    public PromotionDuty(RecordStore store, String key, String holder, MonotonicClock clock, DecisionLog log) {
        this.store = store;
        this.key = key;
        this.holder = holder;
        this.clock = clock;
        this.log = log;
        clock.addJumpListener(() -> held = false);
    }

    /**
     * Takes or extends the right.
     *
     * @return the fencing token; fails if another daemon holds the right or the store does not answer
     */
    public CompletableFuture<Long> acquire() {
        long sentNanos = clock.nowNanos();
        if (isHeld()) {
            return store.renewLease(lease).thenApply(done -> {
                endsNanos = sentNanos + TIME_TO_LIVE.toNanos() - MARGIN_NANOS;
                return token;
            });
        }
        return store.openLease(TIME_TO_LIVE)
                .thenCompose(opened -> store.put(
                                key, holder.getBytes(StandardCharsets.UTF_8), OptionalLong.of(0), opened)
                        .thenApply(revision -> {
                            lease = opened;
                            token = revision;
                            held = true;
                            endsNanos = sentNanos + TIME_TO_LIVE.toNanos() - MARGIN_NANOS;
                            log.line("promotion-duty")
                                    .with("token", revision)
                                    .with("change", "taken")
                                    .write();
                            return revision;
                        }));
    }

    /** Returns whether the right certainly lasts for now. */
    public boolean isHeld() {
        return held && clock.nowNanos() - endsNanos < 0;
    }
}
