package org.banyanhook.daemon.configuration;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.banyanhook.daemon.peer.PeerMessenger;
import org.banyanhook.protocol.generated.ConfigurationRequest;
import org.banyanhook.protocol.generated.PeerEnvelope;

/**
 * Requests confirmations that the newest configuration is in effect on other entry VMs. Safe for use by several
 * threads; never blocks.
 */
final class PropagationCheck {

    private static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(400);
    private static final long ROUND_DELAY_MILLIS = 100;
    private static final int MAXIMUM_PEERS_PER_ROUND = 64;

    private final PeerMessenger messenger;
    private final ConfigurationController controller;

    PropagationCheck(PeerMessenger messenger, ConfigurationController controller) {
        this.messenger = messenger;
        this.controller = controller;
    }

    /**
     * Sends requests until all live entry VMs have confirmed or the deadline has passed; returns the state known then.
     */
    CompletableFuture<PropagationReport> run(long deadlineNanos) {
        return controller.unconfirmedPeerAddresses().thenCompose(unconfirmed -> {
            if (unconfirmed.isEmpty() || System.nanoTime() - deadlineNanos >= 0) {
                return controller.currentPropagation();
            }
            return sendRequests(unconfirmed)
                    .thenCompose(done -> controller.unconfirmedPeerAddresses())
                    .thenCompose(remaining -> {
                        if (remaining.isEmpty()) {
                            return controller.currentPropagation();
                        }
                        return delay().thenCompose(done -> run(deadlineNanos));
                    });
        });
    }

    private CompletableFuture<Void> sendRequests(List<String> addresses) {
        PeerEnvelope request = PeerEnvelope.newBuilder()
                .setConfigurationRequest(ConfigurationRequest.newBuilder()
                        .setKnownVersion(controller.current().version()))
                .build();
        CompletableFuture<?>[] replies = addresses.stream()
                .limit(MAXIMUM_PEERS_PER_ROUND)
                .map(address -> sendRequest(address, request))
                .toArray(CompletableFuture<?>[]::new);
        return CompletableFuture.allOf(replies);
    }

    private CompletableFuture<Void> sendRequest(String address, PeerEnvelope request) {
        return messenger
                .request(address, request, RESPONSE_TIMEOUT)
                .thenCompose(reply -> controller.onReply(address, reply.getConfigurationReply()))
                .exceptionally(problem -> null);
    }

    private static CompletableFuture<Void> delay() {
        return CompletableFuture.runAsync(
                () -> {}, CompletableFuture.delayedExecutor(ROUND_DELAY_MILLIS, TimeUnit.MILLISECONDS));
    }
}
