package org.banyanhook.daemon.primary;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.banyanhook.core.configuration.BackendServer;
import org.banyanhook.core.primary.MemberStatus;
import org.banyanhook.daemon.membership.EntryVm;
import org.banyanhook.daemon.peer.PeerMessenger;
import org.banyanhook.protocol.generated.PeerEnvelope;
import org.banyanhook.protocol.generated.PrimaryEvidence;
import org.banyanhook.protocol.generated.PrimaryEvidenceRequest;
import org.jspecify.annotations.Nullable;

/** Requests evidence from peers whether they reach a primary, and probes a primary on behalf of peers. Thread-safe. */
final class EvidenceExchange {

    private static final Duration PROBE_TIMEOUT = Duration.ofMillis(500);
    private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(1300);
    private static final int PEERS_PER_FAILURE_DOMAIN = 2;
    private static final int MAXIMUM_FAILURE_DOMAINS = 5;

    private final PeerMessenger messenger;
    private final ControllerContext context;

    EvidenceExchange(PeerMessenger messenger, ControllerContext context) {
        this.messenger = messenger;
        this.context = context;
    }

    /** Receives the answer of one peer. */
    @FunctionalInterface
    interface AnswerListener {
        /**
         * Handles an answer.
         *
         * @param peer the peer that answered
         * @param evidence the evidence in its answer
         */
        void onAnswer(EntryVm peer, PrimaryEvidence evidence);
    }

    /**
     * Requests evidence from peers.
     *
     * @param database the name of the database
     * @param term the term of the suspected primary
     * @param peers the peers to send the request to
     * @param listener called on the controller's thread for each answer
     */
    void requestEvidence(String database, long term, List<EntryVm> peers, AnswerListener listener) {
        PeerEnvelope envelope = PeerEnvelope.newBuilder()
                .setPrimaryEvidenceRequest(PrimaryEvidenceRequest.newBuilder()
                        .setDatabase(database)
                        .setTerm(term))
                .build();
        for (EntryVm peer : peers) {
            messenger.request(peer.peerAddress(), envelope, REQUEST_TIMEOUT).whenComplete((reply, failure) -> {
                if (failure != null) {
                    context.metrics().recordEvidence("no-answer");
                } else if (reply.hasPrimaryEvidence()) {
                    context.metrics()
                            .recordEvidence(
                                    reply.getPrimaryEvidence().getPrimaryUnreachable() ? "unreachable" : "reachable");
                    context.loopExecutor().execute(() -> listener.onAnswer(peer, reply.getPrimaryEvidence()));
                }
            });
        }
    }

    /**
     * Reports to peers that a request to a primary failed, so that they probe it.
     *
     * @param database the name of the database
     * @param term the term of the primary
     * @param peers the peers to notify
     */
    void reportFailedRequest(String database, long term, List<EntryVm> peers) {
        PeerEnvelope envelope = toEnvelope(database, term, true);
        peers.forEach(peer -> messenger.send(peer.peerAddress(), envelope));
    }

    /**
     * Selects peers to request evidence from: a few from each failure domain, for a limited number of failure domains.
     * Each attempt selects the next peers of a domain.
     *
     * @param peers the live entry VMs except this one
     * @param attempt the number of earlier attempts
     * @return the selected peers
     */
    static List<EntryVm> selectPeers(List<EntryVm> peers, int attempt) {
        Map<String, List<EntryVm>> byFailureDomain = new TreeMap<>();
        peers.stream()
                .sorted(Comparator.comparing(EntryVm::name))
                .forEach(peer -> byFailureDomain
                        .computeIfAbsent(peer.failureDomain(), domain -> new ArrayList<>())
                        .add(peer));
        List<EntryVm> selected = new ArrayList<>();
        byFailureDomain.values().stream().limit(MAXIMUM_FAILURE_DOMAINS).forEach(domainPeers -> {
            int count = Math.min(PEERS_PER_FAILURE_DOMAIN, domainPeers.size());
            for (int index = 0; index < count; index++) {
                selected.add(domainPeers.get((attempt * count + index) % domainPeers.size()));
            }
        });
        return selected;
    }

    /**
     * Probes a primary on behalf of a peer. A failed attempt is repeated once on a new connection, so that an
     * unresponsive connection is not mistaken for a failed primary.
     *
     * @param database the name of the database
     * @param term the term in the peer's request
     * @param server the primary
     * @return the evidence as a reply to the peer
     */
    CompletableFuture<PeerEnvelope> probe(String database, long term, BackendServer server) {
        return context.control()
                .status(server, PROBE_TIMEOUT)
                .exceptionallyCompose(failure -> context.control().status(server, PROBE_TIMEOUT))
                .handle((status, failure) -> toEnvelope(database, termOf(status, term), failure != null));
    }

    private static long termOf(@Nullable MemberStatus status, long requestedTerm) {
        return status == null ? requestedTerm : Math.max(requestedTerm, status.term());
    }

    private static PeerEnvelope toEnvelope(String database, long term, boolean unreachable) {
        return PeerEnvelope.newBuilder()
                .setPrimaryEvidence(PrimaryEvidence.newBuilder()
                        .setDatabase(database)
                        .setTerm(term)
                        .setPrimaryUnreachable(unreachable))
                .build();
    }
}
