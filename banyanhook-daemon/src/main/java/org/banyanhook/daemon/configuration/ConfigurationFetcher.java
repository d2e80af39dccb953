package org.banyanhook.daemon.configuration;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.banyanhook.daemon.duty.TaskLoop;
import org.banyanhook.daemon.peer.PeerMessenger;
import org.banyanhook.protocol.generated.ConfigurationReply;
import org.banyanhook.protocol.generated.ConfigurationRequest;
import org.banyanhook.protocol.generated.PeerEnvelope;
import org.jspecify.annotations.Nullable;

/**
 * Requests the configuration from peers that may have newer state, with a bounded number of open requests. Runs on the
 * thread of one task loop.
 */
final class ConfigurationFetcher {

    private static final Logger LOGGER = LogManager.getLogger(ConfigurationFetcher.class);
    private static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(800);
    private static final int MAXIMUM_OPEN_REQUESTS = 2;
    private static final int MAXIMUM_QUEUED_ADDRESSES = 16;

    private final PeerMessenger messenger;
    private final TaskLoop taskLoop;
    private final LongSupplier knownVersion;
    private final BiConsumer<String, ConfigurationReply> onReply;
    private final Set<String> queuedAddresses = new LinkedHashSet<>();
    private int openRequests;

    /**
     * Creates a fetcher.
     *
     * @param onReply receives the address and reply of every peer that answers, on the thread of the task loop
     */
    ConfigurationFetcher(
            PeerMessenger messenger,
            TaskLoop taskLoop,
            LongSupplier knownVersion,
            BiConsumer<String, ConfigurationReply> onReply) {
        this.messenger = messenger;
        this.taskLoop = taskLoop;
        this.knownVersion = knownVersion;
        this.onReply = onReply;
    }

    /** Sends a request to a peer now, or once fewer requests are open; drops the address if the queue is full. */
    void fetchFrom(String address) {
        if (queuedAddresses.size() < MAXIMUM_QUEUED_ADDRESSES) {
            queuedAddresses.add(address);
        }
        sendQueued();
    }

    private void sendQueued() {
        Iterator<String> queue = queuedAddresses.iterator();
        while (openRequests < MAXIMUM_OPEN_REQUESTS && queue.hasNext()) {
            String address = queue.next();
            queue.remove();
            send(address);
        }
    }

    private void send(String address) {
        openRequests++;
        PeerEnvelope request = PeerEnvelope.newBuilder()
                .setConfigurationRequest(ConfigurationRequest.newBuilder().setKnownVersion(knownVersion.getAsLong()))
                .build();
        messenger.request(address, request, RESPONSE_TIMEOUT).whenComplete((reply, problem) -> {
            taskLoop.submit(() -> finish(address, reply, problem));
        });
    }

    private void finish(String address, @Nullable PeerEnvelope reply, @Nullable Throwable problem) {
        openRequests--;
        if (problem != null || reply == null) {
            LOGGER.debug("configuration request to peer {} failed", address);
        } else {
            onReply.accept(address, reply.getConfigurationReply());
        }
        sendQueued();
    }
}
