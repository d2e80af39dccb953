package org.banyanhook.gateway.primary;

import io.netty.channel.EventLoop;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.banyanhook.core.primary.PeerContact;
import org.banyanhook.core.primary.PromotionPermission;
import org.banyanhook.gateway.fleet.StoreContact;
import org.banyanhook.gateway.operation.DecisionLog;
import org.banyanhook.gateway.operation.MonotonicClock;

/**
 * Lets primaries be used only while this daemon is in contact with the store or with a majority of the voters.
 *
 * <p>A daemon that replaces a primary needs the store and the votes of a majority, and waits until daemons that did not
 * answer have stopped using the primary on their own. Used on the event loop only.
 */
public final class StoreOrQuorumPolicy implements PrimaryAccessPolicy {

    /** How long the store may not answer before the other daemons are asked; longer than the lease renewal interval. */
    private static final long PEER_QUERY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);

    private static final long PEER_QUERY_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(350);

    /**
     * How long the store is not relied on after a restore if no majority of the voters answers. Voters write again what
     * the store lost within a second of reading it.
     */
    private static final long VOTERS_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final LongSupplier nanosSinceStoreContact;
    private final Supplier<StoreContact> storeContact;
    private final PeerVoteExchange voteExchange;
    private final MonotonicClock clock;
    private final EventLoop eventLoop;
    private final DecisionLog log;
    private final PeerContact peerContact = new PeerContact();
    private long lastQueryNanos;
    private boolean storeContactLost;
    private boolean votersAsked = true;
    private long regainedSinceNanos;
    private long restoredNanos;
    private Supplier<Set<String>> groupsWithUnresolvedVotes = Set::of;
    private BooleanSupplier storeRead = () -> true;

    /**
     * Creates a policy.
     *
     * @param nanosSinceStoreContact returns for how long the store has not answered
     * @param storeContact returns what is known of that time, for the log
     * @param voteExchange queries the other daemons
     * @param clock the monotonic clock
     * @param eventLoop the event loop on which answers are handled
     * @param log receives a line for each round of answers, and when contact to the store is lost or regained
     */
    public StoreOrQuorumPolicy(
            LongSupplier nanosSinceStoreContact,
            Supplier<StoreContact> storeContact,
            PeerVoteExchange voteExchange,
            MonotonicClock clock,
            EventLoop eventLoop,
            DecisionLog log) {
        this.nanosSinceStoreContact = nanosSinceStoreContact;
        this.storeContact = storeContact;
        this.voteExchange = voteExchange;
        this.clock = clock;
        this.eventLoop = eventLoop;
        this.log = log;
        this.lastQueryNanos = clock.nowNanos();
        this.restoredNanos = lastQueryNanos;
        clock.addJumpListener(peerContact::reset);
    }

    /** Sets the supplier of the groups for which this daemon granted a vote whose outcome is not known yet. */
    public void groupsWithUnresolvedVotes(Supplier<Set<String>> groups) {
        groupsWithUnresolvedVotes = groups;
    }

    /**
     * Sets the supplier of whether all records of the newest era of the store have been read. The other daemons are not
     * relied on before.
     */
    public void storeRead(BooleanSupplier supplier) {
        storeRead = supplier;
    }

    /**
     * Relies on no earlier answer of other daemons from now on, because the store was restored from a copy. If contact
     * to the store had been lost, a primary may have been replaced meanwhile, and the copy may lack the record of it.
     * The store is then not relied on either, until the voters know of no promotion that this daemon does not know.
     */
    public void onStoreRestored() {
        peerContact.reset();
        restoredNanos = clock.nowNanos();
        if (nanosSinceStoreContact.getAsLong() > PromotionPermission.CONTACT_TIMEOUT_NANOS) {
            votersAsked = false;
            regainedSinceNanos = Long.MAX_VALUE;
        }
    }

    @Override
    public boolean mayUsePrimary(String group) {
        return (votersAsked && nanosSinceStoreContact.getAsLong() <= PromotionPermission.CONTACT_TIMEOUT_NANOS)
                || (peerContact.mayUsePrimary(group, clock.nowNanos())
                        && !groupsWithUnresolvedVotes.get().contains(group));
    }

    /** Queries the other daemons if the store does not answer. */
    public void tick() {
        long now = clock.nowNanos();
        long sinceContactNanos = nanosSinceStoreContact.getAsLong();
        logStoreContactChange(sinceContactNanos);
        checkWaitForVoters(now, sinceContactNanos);
        if ((votersAsked && sinceContactNanos < PEER_QUERY_DELAY_NANOS)
                || now - lastQueryNanos < PEER_QUERY_INTERVAL_NANOS
                || !storeRead.getAsBoolean()) {
            return;
        }
        lastQueryNanos = now;
        var unused = voteExchange.queryReplacedPrimaries().thenAcceptAsync(round -> recordRound(now, round), eventLoop);
    }

    /** Ends the wait for the voters when they have had enough time to write again what the store had lost. */
    private void checkWaitForVoters(long now, long sinceContactNanos) {
        if (votersAsked || sinceContactNanos > PromotionPermission.CONTACT_TIMEOUT_NANOS) {
            return;
        }
        regainedSinceNanos = Math.min(regainedSinceNanos, now);
        if (now - regainedSinceNanos > VOTERS_TIMEOUT_NANOS) {
            votersAsked = true;
            log.line("peer-contact")
                    .with("change", "not-answered-since-restore")
                    .write();
        }
    }

    private void logStoreContactChange(long sinceContactNanos) {
        boolean lost = sinceContactNanos > PromotionPermission.CONTACT_TIMEOUT_NANOS;
        if (lost != storeContactLost) {
            storeContactLost = lost;
            StoreContact contact = storeContact.get();
            var line = log.line("dependency")
                    .with("name", "store-lease")
                    .with("change", lost ? "lost" : "regained")
                    .with("contact", contact.logValue());
            if (contact == StoreContact.MEASURED) {
                line.with("silentMs", TimeUnit.NANOSECONDS.toMillis(sinceContactNanos));
            }
            line.write();
        }
    }

    private void recordRound(long sentNanos, PeerVoteExchange.RoundResult round) {
        if (clock.jumpedSince(sentNanos) || sentNanos - restoredNanos < 0 || !storeRead.getAsBoolean()) {
            return;
        }
        votersAsked |= round.mayRely() && round.groupsInDoubt().isEmpty();
        peerContact.recordRound(sentNanos, round.mayRely(), round.groupsInDoubt());
        log.line("peer-contact")
                .with("asked", round.votes().asked())
                .with("answered", round.votes().answered())
                .with("votersVersion", round.voters().sets().version())
                .with("mayRely", round.mayRely())
                .with("inDoubt", String.join(",", round.groupsInDoubt()))
                .write();
    }
}
