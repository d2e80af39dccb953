package org.banyanhook.daemon.peer;

import java.util.concurrent.CompletableFuture;
import org.banyanhook.protocol.generated.PeerEnvelope;

/** Handles one kind of message from peers. */
@FunctionalInterface
public interface PeerMessageHandler {
    /**
     * Handles a message.
     *
     * @param message the received envelope
     * @return the envelope of the reply with its body set; ignored for a one-way message. If the future fails with a
     *     {@link org.banyanhook.core.error.RefusalException}, the refusal is sent as a typed failure
     */
    CompletableFuture<PeerEnvelope> handle(PeerEnvelope message);
}
