package org.banyanhook.gateway.primary;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.banyanhook.core.primary.PromotionPermission;
import org.banyanhook.gateway.operation.DecisionLog;
import org.banyanhook.gateway.operation.SteadyClock;

/**
 * Lets primaries be used only while this daemon is in contact with the store or with a majority of the daemons.
 *
 * <p>Whoever replaces a primary needs the store, and either the word of every daemon that it does not reach the primary
 * or a wait that is longer than the time after which a daemon without contact stops by itself. Used on the event loop
 * only.
 */
public final class StoreOrPeerContact implements PrimaryContact {

    /** Without an answer of the store for this long, the other daemons are asked. */
    private static final long ASK_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(1_400);

    private static final long ASK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    private final LongSupplier storeSilentNanos;
    private final PeerEvidence peers;
    private final SteadyClock clock;
    private final EventLoop eventLoop;
    private final DecisionLog log;
    private long peerContactNanos;
    private boolean everPeerContact;
    private long askedNanos;
    private boolean allowed = true;
    private Runnable onLost = () -> {};

    /**
     * Creates the rule.
     *
     * @param storeSilentNanos tells for how long the store has not answered
     * @param peers asks the other daemons
     * @param clock the monotonic clock
     * @param eventLoop where answers are handled
     * @param log receives a line when the contact is lost or regained
     */
    public StoreOrPeerContact(
            LongSupplier storeSilentNanos,
            PeerEvidence peers,
            SteadyClock clock,
            EventLoop eventLoop,
            DecisionLog log) {
        this.storeSilentNanos = storeSilentNanos;
        this.peers = peers;
        this.clock = clock;
        this.eventLoop = eventLoop;
        this.log = log;
        this.askedNanos = clock.nowNanos();
        clock.onJump(() -> everPeerContact = false);
    }

    /** Sets what to do when the contact is lost. */
    public void onLost(Runnable action) {
        onLost = action;
    }

    @Override
    public boolean mayUsePrimaries() {
        long now = clock.nowNanos();
        if (storeSilentNanos.getAsLong() <= PromotionPermission.CONTACT_NANOS) {
            return true;
        }
        return everPeerContact
                && now - peerContactNanos <= PromotionPermission.CONTACT_NANOS
                && !peers.missesPromotion();
    }

    /** Asks the other daemons if the store is silent. */
    public void tick() {
        long now = clock.nowNanos();
        boolean may = mayUsePrimaries();
        if (may != allowed) {
            allowed = may;
            if (!may) {
                onLost.run();
            }
            log.line("dependency")
                    .with("name", "store-or-peers")
                    .with("change", may ? "regained" : "lost")
                    .with("storeSilentMs", TimeUnit.NANOSECONDS.toMillis(storeSilentNanos.getAsLong()))
                    .write();
        }
        if (storeSilentNanos.getAsLong() < ASK_AFTER_NANOS || now - askedNanos < ASK_INTERVAL_NANOS) {
            return;
        }
        askedNanos = now;
        peers.ask("", 0)
                .thenAcceptAsync(
                        votes -> {
                            if (votes.majorityAnswered()) {
                                everPeerContact = true;
                                peerContactNanos = now;
                            }
                        },
                        eventLoop)
                .exceptionally(failure -> null);
    }
}
