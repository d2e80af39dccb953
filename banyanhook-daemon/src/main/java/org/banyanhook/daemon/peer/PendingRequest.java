package org.banyanhook.daemon.peer;

import java.util.concurrent.CompletableFuture;
import org.banyanhook.protocol.generated.PeerEnvelope;
import org.jspecify.annotations.Nullable;

/** A message that is being sent to a peer. Confined to the event loop of its link, except for the reply future. */
final class PendingRequest {

    private final String peerAddress;
    private final PeerEnvelope envelope;
    private final CompletableFuture<PeerEnvelope> reply = new CompletableFuture<>();
    private @Nullable PeerClientHandler connection;
    private long writtenNanos;

    PendingRequest(String peerAddress, PeerEnvelope envelope) {
        this.peerAddress = peerAddress;
        this.envelope = envelope;
    }

    PeerEnvelope envelope() {
        return envelope;
    }

    long correlationId() {
        return envelope.getCorrelationId();
    }

    boolean expectsReply() {
        return envelope.getCorrelationId() != 0;
    }

    CompletableFuture<PeerEnvelope> reply() {
        return reply;
    }

    /** Returns the connection that the message was written to, or null if it has not been written. */
    @Nullable
    PeerClientHandler connection() {
        return connection;
    }

    long writtenNanos() {
        return writtenNanos;
    }

    void markWritten(PeerClientHandler handler) {
        connection = handler;
        writtenNanos = System.nanoTime();
    }

    void complete(PeerEnvelope message) {
        if (message.hasFailure()) {
            reply.completeExceptionally(PeerFailureCodec.toRefusal(message.getFailure()));
        } else {
            reply.complete(message);
        }
    }

    void fail(String reason) {
        reply.completeExceptionally(new PeerException(
                "peer " + peerAddress + ": " + reason + "; retry or use another peer", connection != null));
    }
}
