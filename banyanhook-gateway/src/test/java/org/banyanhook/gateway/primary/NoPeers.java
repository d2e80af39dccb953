package org.banyanhook.gateway.primary;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.banyanhook.daemon.peer.PeerMessageHandler;
import org.banyanhook.daemon.peer.PeerMessenger;
import org.banyanhook.protocol.generated.PeerEnvelope;

/** The messenger of a fleet of one daemon. */
final class NoPeers implements PeerMessenger {

    @Override
    public CompletableFuture<PeerEnvelope> request(String address, PeerEnvelope body, Duration timeout) {
        return CompletableFuture.failedFuture(new IllegalStateException("there are no other daemons"));
    }

    @Override
    public void send(String address, PeerEnvelope body) {
        throw new UnsupportedOperationException("an exchange sends requests only");
    }

    @Override
    public void registerHandler(PeerEnvelope.BodyCase bodyCase, PeerMessageHandler handler) {
        // Nobody sends requests.
    }
}
