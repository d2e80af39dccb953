package org.banyanhook.daemon.peer;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.banyanhook.protocol.generated.PeerEnvelope;

/** Exchanges messages with the other daemons of the fleet. Thread-safe; never blocks. */
public interface PeerMessenger {
    /**
     * Sends a request.
     *
     * @param peerAddress the peer's IP address and port
     * @param body an envelope with its body set; the messenger sets the sender and the correlation id
     * @param timeout how long to wait for the reply
     * @return the reply; failed with a {@link PeerException} that states whether the request may have been sent, or
     *     with a {@link org.banyanhook.core.error.RefusalException} if the peer replied with a failure
     */
    CompletableFuture<PeerEnvelope> request(String peerAddress, PeerEnvelope body, Duration timeout);

    /**
     * Sends a one-way message, which may be lost.
     *
     * @param peerAddress the peer's IP address and port
     * @param body an envelope with its body set
     */
    void send(String peerAddress, PeerEnvelope body);

    /**
     * Registers the handler of one kind of message. Must be called before the first message can arrive.
     *
     * @param kind the kind of body
     * @param handler the handler, which runs on a network thread and must not block
     */
    void registerHandler(PeerEnvelope.BodyCase kind, PeerMessageHandler handler);
}
