package org.banyanhook.gateway.primary;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.banyanhook.core.primary.PromotionPermission.Votes;
import org.banyanhook.daemon.peer.PeerMessenger;
import org.banyanhook.gateway.fleet.FleetDirectory;
import org.banyanhook.gateway.port.DaemonEntry;
import org.banyanhook.protocol.generated.PeerEnvelope;
import org.banyanhook.protocol.generated.PrimaryEvidence;
import org.banyanhook.protocol.generated.PrimaryEvidenceRequest;

/** Asks the other daemons whether they reach a primary. */
public final class PeerEvidence {

    /**
     * Above the time that the other daemon's probe of the primary takes, and the round trip between any two regions.
     */
    private static final Duration TIMEOUT = Duration.ofMillis(800);

    private final PeerMessenger messenger;
    private final FleetDirectory directory;
    private final EventLoop eventLoop;
    private final String entryVm;
    private long newestPromotionHeard;

    /**
     * Creates the exchange.
     *
     * @param entryVm the name of this entry VM
     * @param messenger the links to other daemons
     * @param directory tells their addresses
     * @param eventLoop where answers are handled
     */
    public PeerEvidence(String entryVm, PeerMessenger messenger, FleetDirectory directory, EventLoop eventLoop) {
        this.entryVm = entryVm;
        this.messenger = messenger;
        this.directory = directory;
        this.eventLoop = eventLoop;
    }

    /**
     * Answers other daemons.
     *
     * @param unreachableNanos tells for how long this daemon has not reached the primary of a group, negative if it
     *     does
     */
    public void serve(Function<String, CompletableFuture<Long>> unreachableNanos) {
        messenger.handle(PeerEnvelope.BodyCase.PRIMARY_EVIDENCE_REQUEST, message -> {
            PrimaryEvidenceRequest request = message.getPrimaryEvidenceRequest();
            return CompletableFuture.supplyAsync(() -> unreachableNanos.apply(request.getDatabase()), eventLoop)
                    .thenCompose(found -> found)
                    .thenApplyAsync(nanos -> answer(request, nanos), eventLoop);
        });
    }

    /**
     * Asks all other daemons.
     *
     * @param group the database group, or empty to learn only who answers
     * @param term the highest term known here
     * @return what they said, once all have answered or the time is over; never fails
     */
    public CompletableFuture<Votes> ask(String group, long term) {
        PeerEnvelope body = PeerEnvelope.newBuilder()
                .setPrimaryEvidenceRequest(
                        PrimaryEvidenceRequest.newBuilder().setDatabase(group).setTerm(term))
                .build();
        List<CompletableFuture<Votes>> answers = new ArrayList<>();
        for (DaemonEntry daemon : directory.recentDaemons().values()) {
            if (!daemon.entryVm().equals(entryVm)) {
                answers.add(messenger
                        .request(daemon.peerAddress(), body, TIMEOUT)
                        .handleAsync((reply, failure) -> reply == null ? new Votes(1, 0, 0) : vote(reply), eventLoop));
            }
        }
        return CompletableFuture.allOf(answers.toArray(new CompletableFuture<?>[0]))
                .thenApplyAsync(
                        done -> answers.stream().map(CompletableFuture::join).reduce(Votes.NONE, Votes::plus),
                        eventLoop);
    }

    /** Returns whether another daemon knows of a promotion that this one has not seen. */
    public boolean missesPromotion() {
        return newestPromotionHeard > directory.newestPromotionRevision();
    }

    private Votes vote(PeerEnvelope reply) {
        newestPromotionHeard =
                Math.max(newestPromotionHeard, reply.getPrimaryEvidence().getTerm());
        boolean unreachable = reply.getPrimaryEvidence().getPrimaryUnreachable();
        return new Votes(1, unreachable ? 1 : 0, unreachable ? 0 : 1);
    }

    private PeerEnvelope answer(PrimaryEvidenceRequest request, long nanos) {
        return PeerEnvelope.newBuilder()
                .setPrimaryEvidence(PrimaryEvidence.newBuilder()
                        .setDatabase(request.getDatabase())
                        // A promotion that the asking daemon has not seen is news to it.
                        .setTerm(directory.newestPromotionRevision())
                        .setPrimaryUnreachable(nanos >= 0)
                        .setUnreachableMillis(Math.max(0, TimeUnit.NANOSECONDS.toMillis(nanos))))
                .build();
    }
}
