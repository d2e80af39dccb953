package org.banyanhook.daemon.configuration;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.banyanhook.daemon.peer.PeerMessenger;
import org.banyanhook.protocol.generated.ConfigurationRequest;
import org.banyanhook.protocol.generated.PeerEnvelope;

/** Asks entry VMs whether the newest configuration is in force there. Safe for use by several threads; never blocks. */
final class PropagationCheck {

    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(400);
    private static final long ROUND_DELAY_MILLIS = 100;
    private static final int MAXIMUM_ASKED_PER_ROUND = 64;

    private final PeerMessenger messenger;
    private final ConfigurationController controller;

    PropagationCheck(PeerMessenger messenger, ConfigurationController controller) {
        this.messenger = messenger;
        this.controller = controller;
    }

    /** Asks until all have confirmed or the time is over; completes with what is then known. */
    CompletableFuture<PropagationReport> run(long deadlineNanos) {
        return controller.peersBehind().thenCompose(behind -> {
            if (behind.isEmpty() || System.nanoTime() - deadlineNanos >= 0) {
                return controller.knownForceReport();
            }
            return askAll(behind).thenCompose(done -> controller.peersBehind()).thenCompose(left -> {
                if (left.isEmpty()) {
                    return controller.knownForceReport();
                }
                return pause().thenCompose(done -> run(deadlineNanos));
            });
        });
    }

    private CompletableFuture<Void> askAll(List<String> addresses) {
        PeerEnvelope request = PeerEnvelope.newBuilder()
                .setConfigurationRequest(ConfigurationRequest.newBuilder()
                        .setKnownVersion(controller.current().version()))
                .build();
        CompletableFuture<?>[] answers = addresses.stream()
                .limit(MAXIMUM_ASKED_PER_ROUND)
                .map(address -> ask(address, request))
                .toArray(CompletableFuture<?>[]::new);
        return CompletableFuture.allOf(answers);
    }

    private CompletableFuture<Void> ask(String address, PeerEnvelope request) {
        return messenger
                .request(address, request, ANSWER_TIMEOUT)
                .thenCompose(reply -> controller.onReply(address, reply.getConfigurationReply()))
                .exceptionally(problem -> null);
    }

    private static CompletableFuture<Void> pause() {
        return CompletableFuture.runAsync(
                () -> {}, CompletableFuture.delayedExecutor(ROUND_DELAY_MILLIS, TimeUnit.MILLISECONDS));
    }
}
