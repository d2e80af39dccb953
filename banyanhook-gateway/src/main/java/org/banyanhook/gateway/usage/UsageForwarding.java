package org.banyanhook.gateway.usage;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.banyanhook.core.usage.DutyCandidacy;
import org.banyanhook.core.usage.UsageCounter;
import org.banyanhook.core.usage.WindowUsage;
import org.banyanhook.daemon.peer.PeerMessenger;
import org.banyanhook.gateway.fleet.FleetDirectory;
import org.banyanhook.gateway.fleet.FleetDirectory.HeldDuty;
import org.banyanhook.gateway.operation.MonotonicClock;
import org.banyanhook.gateway.port.DaemonEntry;
import org.banyanhook.protocol.generated.PeerEnvelope;
import org.banyanhook.protocol.generated.UsageCounts;
import org.banyanhook.protocol.generated.UsageCountsReply;
import org.jspecify.annotations.Nullable;

/**
 * Sends the counts of this daemon to the holder of the duty while they change, and all kept counts to a new holder.
 * Used on the event loop only.
 */
final class UsageForwarding {

    /** Shorter than the time within which a holder decides, so that a lost message is repeated in time. */
    private static final Duration TIMEOUT = Duration.ofMillis(800);

    private final String entryVm;
    private final long incarnation;
    private final UsageCounter counter;
    private final UsageClock usageClock;
    private final UsageHolder ownHolder;
    private final PeerMessenger messenger;
    private final FleetDirectory directory;
    private final Executor eventLoop;
    private final MonotonicClock clock;
    private final TreeMap<Long, Long> deliveredVersions = new TreeMap<>();
    private @Nullable HeldDuty holder;
    private @Nullable HeldDuty informedHolder;
    private boolean sending;

    /**
     * Creates the sender of a daemon's counts, and starts to answer the messages of other daemons.
     *
     * @param entryVm the name of this entry VM
     * @param incarnation the run of this daemon
     * @param counter the counts of this daemon
     * @param usageClock the estimate of true time
     * @param ownHolder takes the counts if this daemon holds the duty
     * @param messenger sends messages to other daemons
     * @param directory tells which daemon holds the duty
     * @param eventLoop the event loop on which everything runs
     * @param clock the monotonic clock
     */
    UsageForwarding(
            String entryVm,
            long incarnation,
            UsageCounter counter,
            UsageClock usageClock,
            UsageHolder ownHolder,
            PeerMessenger messenger,
            FleetDirectory directory,
            Executor eventLoop,
            MonotonicClock clock) {
        this.entryVm = entryVm;
        this.incarnation = incarnation;
        this.counter = counter;
        this.usageClock = usageClock;
        this.ownHolder = ownHolder;
        this.messenger = messenger;
        this.directory = directory;
        this.eventLoop = eventLoop;
        this.clock = clock;
        messenger.registerHandler(
                PeerEnvelope.BodyCase.USAGE_COUNTS,
                message -> CompletableFuture.supplyAsync(
                        () -> reply(message.getSenderEntryVm(), message.getUsageCounts()), eventLoop));
    }

    private PeerEnvelope reply(String sender, UsageCounts counts) {
        boolean kept = ownHolder.receive(sender, counts);
        return PeerEnvelope.newBuilder()
                .setUsageCountsReply(UsageCountsReply.newBuilder()
                        .setHolder(kept)
                        .setTimeMillis(usageClock.wallMillis())
                        .setDecidedWindow(ownHolder.decidedThrough()))
                .build();
    }

    /** Asks other daemons for their time, and sends what has changed since the last message. */
    void tick() {
        usageClock.tick(this::askTime);
        if (!usageClock.isUsable()) {
            return;
        }
        counter.settle(usageClock.trueMillis(), usageClock.steadyMillis());
        deliveredVersions.keySet().retainAll(counter.windows());
        if (!sending) {
            var unused = sendChanges();
        }
    }

    /**
     * Settles all counts and sends them, because the daemon ends.
     *
     * @return a future that completes when they have arrived or are lost
     */
    CompletableFuture<Void> finish() {
        counter.settleAll(usageClock.trueMillis(), usageClock.steadyMillis());
        return sendChanges();
    }

    private void askTime(String daemon) {
        DaemonEntry peer = directory.daemons().get(daemon);
        if (peer != null) {
            var unused = request(peer, UsageMessages.toMessage(incarnation, ownHolder.decidedThrough(), List.of()));
        }
    }

    private CompletableFuture<Void> sendChanges() {
        Optional<HeldDuty> current = directory.usageDuty();
        if (current.isEmpty()) {
            return CompletableFuture.completedFuture(null);
        }
        if (!current.get().equals(holder)) {
            holder = current.get();
            deliveredVersions.clear();
        }
        List<WindowUsage> changes = counter.changesSince(deliveredVersions);
        boolean holderInformed = current.get().equals(informedHolder);
        if (changes.isEmpty() && holderInformed) {
            return CompletableFuture.completedFuture(null);
        }
        UsageCounts message = UsageMessages.toMessage(incarnation, ownHolder.decidedThrough(), changes);
        if (current.get().entryVm().equals(entryVm)) {
            if (ownHolder.receive(entryVm, message)) {
                recordDelivery(current.get(), changes);
                copyToSuccessor(message);
            }
            informedHolder = current.get();
            counter.forgetThrough(ownHolder.decidedThrough());
            return CompletableFuture.completedFuture(null);
        }
        DaemonEntry peer = directory.daemons().get(current.get().entryVm());
        if (peer == null) {
            return CompletableFuture.completedFuture(null);
        }
        CompletableFuture<UsageCountsReply> answer = request(peer, message);
        // Only now: if the request throws an exception, the counts are sent with the next tick.
        sending = true;
        return answer.handle((reply, failure) -> {
            sending = false;
            if (reply != null && reply.getHolder()) {
                informedHolder = current.get();
                recordDelivery(current.get(), changes);
            }
            return null;
        });
    }

    /** Without a copy, the holder's own counts of all undecided windows would be lost with it. */
    private void copyToSuccessor(UsageCounts ownCounts) {
        DutyCandidacy.successor(UsageLease.DUTY, entryVm, directory.daemons().keySet())
                .map(directory.daemons()::get)
                .ifPresent(successor -> {
                    var unused = request(successor, ownCounts);
                });
    }

    private void recordDelivery(HeldDuty receiver, List<WindowUsage> delivered) {
        if (receiver.equals(holder)) {
            delivered.forEach(usage -> deliveredVersions.put(usage.window(), usage.version()));
        }
    }

    private CompletableFuture<UsageCountsReply> request(DaemonEntry peer, UsageCounts counts) {
        long sentNanos = clock.nowNanos();
        PeerEnvelope body = PeerEnvelope.newBuilder().setUsageCounts(counts).build();
        return messenger
                .request(peer.peerAddress(), body, TIMEOUT)
                .thenApplyAsync(
                        reply -> {
                            if (!reply.hasUsageCountsReply()) {
                                throw new IllegalStateException("the reply contains no receipt of counts");
                            }
                            UsageCountsReply answer = reply.getUsageCountsReply();
                            usageClock.onReply(peer.entryVm(), sentNanos, answer.getTimeMillis());
                            ownHolder.observeDecided(answer.getDecidedWindow());
                            counter.forgetThrough(answer.getDecidedWindow());
                            return answer;
                        },
                        eventLoop);
    }
}
