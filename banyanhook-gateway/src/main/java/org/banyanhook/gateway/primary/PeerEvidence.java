package org.banyanhook.gateway.primary;

import com.google.common.collect.Sets;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.banyanhook.core.primary.PromotionPermission.Votes;
import org.banyanhook.core.primary.ReplacementWitnesses;
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

    /**
     * What the other daemons answered.
     *
     * @param votes how many were asked and what they said
     * @param silent the daemons that did not answer
     * @param inDoubt the groups whose primary was replaced, or may have been, as one of them knows
     */
    public record Round(Votes votes, Set<String> silent, Set<String> inDoubt) {

        public Round {
            silent = Set.copyOf(silent);
            inDoubt = Set.copyOf(inDoubt);
        }

        private Round plus(Round other) {
            return new Round(
                    votes.plus(other.votes), Sets.union(silent, other.silent), Sets.union(inDoubt, other.inDoubt));
        }
    }

    /** Answers the questions of other daemons. Called on the event loop. */
    public interface Witness {
        /**
         * Tells for how long this daemon has not reached the primary of a group, and agrees to its replacement if it
         * does not reach it or the replacement is planned.
         *
         * @param group the group
         * @param planned whether the primary is to be replaced although it is alive
         * @return nanoseconds, negative if the primary is reached and stays in use; never fails
         */
        CompletableFuture<Long> unreachableNanos(String group, boolean planned);

        /**
         * Returns the groups whose primary was replaced, or may have been, unknown to a daemon.
         *
         * @param knownPromotion the revision of the newest promotion that the daemon knows
         */
        Set<String> groupsInDoubt(long knownPromotion);

        /** Returns whether others may rely on this daemon to hear of replaced primaries. */
        boolean mayVouch();
    }

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
     * @param witness what answers
     */
    public void serve(Witness witness) {
        messenger.registerHandler(PeerEnvelope.BodyCase.PRIMARY_EVIDENCE_REQUEST, message -> {
            PrimaryEvidenceRequest request = message.getPrimaryEvidenceRequest();
            return CompletableFuture.supplyAsync(() -> answer(witness, request), eventLoop)
                    .thenCompose(answer -> answer);
        });
    }

    private static CompletableFuture<PeerEnvelope> answer(Witness witness, PrimaryEvidenceRequest request) {
        PrimaryEvidence.Builder evidence = PrimaryEvidence.newBuilder().setDatabase(request.getDatabase());
        if (!request.getDatabase().isEmpty()) {
            return witness.unreachableNanos(request.getDatabase(), request.getPlanned())
                    .thenApply(nanos -> envelope(evidence.setPrimaryUnreachable(nanos >= 0)
                            .setUnreachableMillis(Math.max(0, TimeUnit.NANOSECONDS.toMillis(nanos)))));
        }
        if (!witness.mayVouch()) {
            return CompletableFuture.failedFuture(
                    new IllegalStateException("started too recently to know of promotions"));
        }
        return CompletableFuture.completedFuture(
                envelope(evidence.addAllDatabasesInDoubt(witness.groupsInDoubt(request.getTerm()))));
    }

    private static PeerEnvelope envelope(PrimaryEvidence.Builder evidence) {
        return PeerEnvelope.newBuilder().setPrimaryEvidence(evidence).build();
    }

    /**
     * Asks all other daemons to agree to the replacement of a primary.
     *
     * @param group the database group
     * @param planned whether the primary is to be replaced although it is alive
     * @return what they said, once all have answered or the time is over; never fails
     */
    public CompletableFuture<Round> askToReplace(String group, boolean planned) {
        Map<String, DaemonEntry> all = directory.recentDaemons();
        return ask(PrimaryEvidenceRequest.newBuilder().setDatabase(group).setPlanned(planned), all.keySet());
    }

    /**
     * Asks the other witnesses which primaries were replaced.
     *
     * @return what they said, once all have answered or the time is over; never fails
     */
    public CompletableFuture<Round> askForNews() {
        Set<String> witnesses =
                ReplacementWitnesses.of(directory.recentDaemons().keySet());
        // The request's term is the newest promotion known here, so that only news comes back.
        return ask(PrimaryEvidenceRequest.newBuilder().setTerm(directory.newestPromotionRevision()), witnesses);
    }

    private CompletableFuture<Round> ask(PrimaryEvidenceRequest.Builder request, Set<String> daemons) {
        PeerEnvelope body =
                PeerEnvelope.newBuilder().setPrimaryEvidenceRequest(request).build();
        Map<String, DaemonEntry> entries = directory.recentDaemons();
        Set<String> witnesses = ReplacementWitnesses.of(entries.keySet());
        List<CompletableFuture<Round>> answers = new ArrayList<>();
        for (String daemon : daemons) {
            DaemonEntry entry = entries.get(daemon);
            if (entry != null && !daemon.equals(entryVm)) {
                int witness = witnesses.contains(daemon) ? 1 : 0;
                answers.add(messenger
                        .request(entry.peerAddress(), body, TIMEOUT)
                        .handle((reply, failure) -> reply == null
                                ? new Round(new Votes(1, 0, 0, witness, 0), Set.of(daemon), Set.of())
                                : round(reply.getPrimaryEvidence(), witness)));
            }
        }
        // A daemon whose own entry has ended long ago counts on itself all the same.
        boolean isWitness = witnesses.contains(entryVm) || witnesses.isEmpty();
        Round own = new Round(isWitness ? Votes.NONE : Votes.NONE_OF_NO_WITNESS, Set.of(), Set.of());
        return CompletableFuture.allOf(answers.toArray(new CompletableFuture<?>[0]))
                .thenApplyAsync(
                        done -> answers.stream().map(CompletableFuture::join).reduce(own, Round::plus), eventLoop);
    }

    private static Round round(PrimaryEvidence evidence, int witness) {
        int unreachable = evidence.getPrimaryUnreachable() ? 1 : 0;
        return new Round(
                new Votes(1, unreachable, 1 - unreachable, witness, witness),
                Set.of(),
                Set.copyOf(evidence.getDatabasesInDoubtList()));
    }
}
