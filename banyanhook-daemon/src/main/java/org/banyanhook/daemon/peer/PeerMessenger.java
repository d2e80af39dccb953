package org.banyanhook.daemon.peer;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.banyanhook.protocol.generated.PeerEnvelope;

/** Sends messages to the other daemons of the fleet. Safe for use by several threads; never blocks. */
public interface PeerMessenger {
    /**
     * Sends a request and awaits its reply.
     *
     * @param peerAddress the peer's IP number and port
     * @param body an envelope with its body set; the messenger fills in the sender and the correlation id
     * @param timeout how long to wait for the reply
     * @return the reply; failed with a {@link PeerException} that tells whether the request may have been sent, or with
     *     a {@link org.banyanhook.core.error.RefusalException} when the peer answered with a failure
     */
    CompletableFuture<PeerEnvelope> request(String peerAddress, PeerEnvelope body, Duration timeout);

    /**
     * Sends a one-way message that may be lost.
     *
     * @param peerAddress the peer's IP number and port
     * @param body an envelope with its body set
     */
    void send(String peerAddress, PeerEnvelope body);

    /**
     * Registers the handler of one kind of message. Call before the first message can arrive.
     *
     * @param kind the kind of body
     * @param handler called on a network thread; must not block
     */
    void registerHandler(PeerEnvelope.BodyCase kind, PeerMessageHandler handler);
}
