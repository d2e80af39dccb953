package org.banyanhook.daemon.peer;

import java.util.concurrent.CompletableFuture;
import org.banyanhook.protocol.generated.PeerEnvelope;

/** Answers one kind of message from peers. */
@FunctionalInterface
public interface PeerMessageHandler {
    /**
     * Handles a message.
     *
     * @param message the envelope as received
     * @return the envelope of the reply with its body set; ignored for a one-way message. A future failed with a
     *     {@link org.banyanhook.core.error.RefusalException} is sent as a typed failure
     */
    CompletableFuture<PeerEnvelope> handle(PeerEnvelope message);
}
