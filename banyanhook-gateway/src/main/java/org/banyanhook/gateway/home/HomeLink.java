package org.banyanhook.gateway.home;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.banyanhook.core.routing.LinkHealth;
import org.banyanhook.daemon.peer.PeerMessenger;
import org.banyanhook.gateway.operation.MonotonicClock;
import org.banyanhook.protocol.generated.HomeCommands;
import org.banyanhook.protocol.generated.HomeLeaseEnd;
import org.banyanhook.protocol.generated.LinkProbe;
import org.banyanhook.protocol.generated.LinkProbeAnswer;
import org.banyanhook.protocol.generated.PeerEnvelope;

/** The link to one home, and what is known of it. Confined to the event loop. */
final class HomeLink {

    /** Exceeds the round trip between any two regions; a home answers a probe without any other work. */
    private static final Duration PROBE_TIMEOUT = Duration.ofMillis(250);

    private static final PeerEnvelope PROBE = PeerEnvelope.newBuilder()
            .setLinkProbe(LinkProbe.getDefaultInstance())
            .build();

    private final String address;
    private final PeerMessenger messenger;
    private final EventLoop eventLoop;
    private final MonotonicClock clock;
    private final LinkHealth health = new LinkHealth();
    private final List<Runnable> failureListeners = new ArrayList<>();

    HomeLink(String address, PeerMessenger messenger, EventLoop eventLoop, MonotonicClock clock) {
        this.address = address;
        this.messenger = messenger;
        this.eventLoop = eventLoop;
        this.clock = clock;
    }

    /**
     * Returns whether statements for a member may be sent; probes the link if it failed, so that it is used again
     * later.
     */
    boolean isUsable(String member) {
        long now = clock.nowNanos();
        boolean usable = health.isUsable(member, now);
        if (!usable && health.isProbeDue(now)) {
            var unused = probe();
        }
        return usable;
    }

    /** Returns whether the home has answered recently, so that a statement that is not repeated may be sent. */
    boolean isVerified() {
        return health.isVerified(clock.nowNanos());
    }

    /** Probes the link if it has been silent, so that one that does not answer is noticed early; returns whether. */
    boolean probeIfSilent() {
        if (!health.isProbeDue(clock.nowNanos())) {
            return false;
        }
        var unused = probe();
        return true;
    }

    /** Returns whether the home has never answered. */
    boolean isUnknown() {
        return health.isUnknown();
    }

    /** Probes the link; the result tells whether the home has answered. */
    CompletableFuture<Boolean> probe() {
        health.recordProbe(clock.nowNanos());
        return messenger
                .request(address, PROBE, PROBE_TIMEOUT)
                .handleAsync(
                        (reply, failure) -> {
                            if (reply == null || !reply.hasLinkProbeAnswer()) {
                                recordFailure();
                                return false;
                            }
                            LinkProbeAnswer answer = reply.getLinkProbeAnswer();
                            health.recordAnswer(answer.getIncarnation(), answer.getClockNanos(), clock.nowNanos());
                            return true;
                        },
                        eventLoop);
    }

    /** Returns a time on the clock of the home, or empty if that clock is not known. */
    OptionalLong toHomeClock(long timeNanos) {
        return health.toPeerClock(timeNanos, clock.nowNanos());
    }

    /** Returns the run of the home whose clock is known. */
    long incarnation() {
        return health.incarnation();
    }

    CompletableFuture<PeerEnvelope> send(HomeCommands commands, Duration timeout) {
        return messenger.request(
                address, PeerEnvelope.newBuilder().setHomeCommands(commands).build(), timeout);
    }

    void endLease(long incarnation, long lease) {
        messenger.send(
                address,
                PeerEnvelope.newBuilder()
                        .setHomeLeaseEnd(HomeLeaseEnd.newBuilder()
                                .setIncarnation(incarnation)
                                .setLease(lease))
                        .build());
    }

    void recordAnswer(long peerIncarnation, long peerNanos) {
        health.recordAnswer(peerIncarnation, peerNanos, clock.nowNanos());
    }

    void recordRefusal(String member) {
        health.recordRefusal(member, clock.nowNanos());
    }

    /** Adds a listener that is called if the link fails. */
    void addFailureListener(Runnable listener) {
        failureListeners.add(listener);
    }

    void removeFailureListener(Runnable listener) {
        failureListeners.remove(listener);
    }

    void recordFailure() {
        health.recordFailure();
        List.copyOf(failureListeners).forEach(Runnable::run);
    }
}
