package org.banyanhook.gateway.primary;

import io.netty.channel.EventLoop;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.banyanhook.core.primary.PeerContact;
import org.banyanhook.core.primary.PromotionPermission;
import org.banyanhook.gateway.operation.DecisionLog;
import org.banyanhook.gateway.operation.MonotonicClock;

/**
 * Lets primaries be used only while this daemon is in contact with the store or with a majority of the daemons.
 *
 * <p>Whoever replaces a primary needs the store and the word of a majority of the daemons, and waits until daemons that
 * said nothing have stopped by themselves. Used on the event loop only.
 */
public final class StoreOrPeerContact implements PrimaryContact {

    /** Without an answer of the store for this long, the other daemons are asked; above a renewal's interval. */
    private static final long ASK_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);

    private static final long ASK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(350);

    private final LongSupplier storeSilentNanos;
    private final PeerEvidence peers;
    private final MonotonicClock clock;
    private final EventLoop eventLoop;
    private final DecisionLog log;
    private final PeerContact contact = new PeerContact();
    private long askedNanos;
    private boolean storeSilent;
    private Supplier<Set<String>> agreedTo = Set::of;

    /**
     * Creates the rule.
     *
     * @param storeSilentNanos tells for how long the store has not answered
     * @param peers asks the other daemons
     * @param clock the monotonic clock
     * @param eventLoop where answers are handled
     * @param log receives a line for each round of answers, and when the store falls silent or answers again
     */
    public StoreOrPeerContact(
            LongSupplier storeSilentNanos,
            PeerEvidence peers,
            MonotonicClock clock,
            EventLoop eventLoop,
            DecisionLog log) {
        this.storeSilentNanos = storeSilentNanos;
        this.peers = peers;
        this.clock = clock;
        this.eventLoop = eventLoop;
        this.log = log;
        this.askedNanos = clock.nowNanos();
        clock.addJumpListener(contact::reset);
    }

    /** Sets what tells the groups to whose replacement this daemon agreed without knowing what came of it. */
    public void agreedTo(Supplier<Set<String>> groups) {
        agreedTo = groups;
    }

    @Override
    public boolean mayUsePrimary(String group) {
        return storeSilentNanos.getAsLong() <= PromotionPermission.CONTACT_TIMEOUT_NANOS
                || (contact.mayUsePrimary(group, clock.nowNanos())
                        && !agreedTo.get().contains(group));
    }

    /** Asks the other daemons if the store is silent. */
    public void tick() {
        long now = clock.nowNanos();
        long silentNanos = storeSilentNanos.getAsLong();
        noteStore(silentNanos);
        if (silentNanos < ASK_AFTER_NANOS || now - askedNanos < ASK_INTERVAL_NANOS) {
            return;
        }
        askedNanos = now;
        var unused = peers.askForNews().thenAcceptAsync(round -> observe(now, round), eventLoop);
    }

    private void noteStore(long silentNanos) {
        boolean silent = silentNanos > PromotionPermission.CONTACT_TIMEOUT_NANOS;
        if (silent != storeSilent) {
            storeSilent = silent;
            log.line("dependency")
                    .with("name", "store-lease")
                    .with("change", silent ? "lost" : "regained")
                    .with("silentMs", TimeUnit.NANOSECONDS.toMillis(silentNanos))
                    .write();
        }
    }

    private void observe(long sentNanos, PeerEvidence.Round round) {
        contact.recordRound(sentNanos, round.votes(), round.inDoubt());
        log.line("peer-contact")
                .with("asked", round.votes().asked())
                .with("answered", round.votes().answered())
                .with("inDoubt", String.join(",", round.inDoubt()))
                .write();
    }
}
