package org.banyanhook.gateway.home;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.banyanhook.daemon.peer.PeerException;
import org.banyanhook.daemon.peer.PeerMessageHandler;
import org.banyanhook.daemon.peer.PeerMessenger;
import org.banyanhook.protocol.generated.PeerEnvelope;

/** Carries messages between the daemons of a test, when the test says so. */
final class ScriptedLink {

    private final Map<String, Map<PeerEnvelope.BodyCase, PeerMessageHandler>> handlers = new HashMap<>();
    private final Deque<Runnable> inTransit = new ArrayDeque<>();
    private boolean cut;
    private boolean refuseNext;

    /** Delivers the oldest message; returns whether there was one. */
    boolean deliver() {
        Runnable message = inTransit.poll();
        if (message != null) {
            message.run();
        }
        return message != null;
    }

    /** Loses all messages from now on, and those in transit; or carries new ones again. */
    void cut(boolean value) {
        cut = value;
        if (value) {
            inTransit.clear();
        }
    }

    /** Makes the next request fail before it is sent, as if the connection had just been closed. */
    void refuseNext() {
        refuseNext = true;
    }

    /** Creates the messenger of a daemon, whose address is its name. */
    PeerMessenger messenger(String entryVm, EventLoop eventLoop) {
        return new PeerMessenger() {
            @Override
            public CompletableFuture<PeerEnvelope> request(String address, PeerEnvelope body, Duration timeout) {
                CompletableFuture<PeerEnvelope> reply = new CompletableFuture<>();
                if (refuseNext) {
                    refuseNext = false;
                    reply.completeExceptionally(new PeerException("the connection is closed", false));
                    return reply;
                }
                var unused = eventLoop.schedule(
                        () -> reply.completeExceptionally(new PeerException("no reply in time", true)),
                        timeout.toMillis(),
                        TimeUnit.MILLISECONDS);
                transmit(() ->
                        handle(entryVm, address, body).thenAccept(answer -> transmit(() -> reply.complete(answer))));
                return reply;
            }

            @Override
            public void send(String address, PeerEnvelope body) {
                transmit(() -> handle(entryVm, address, body));
            }

            @Override
            public void registerHandler(PeerEnvelope.BodyCase kind, PeerMessageHandler handler) {
                handlers.computeIfAbsent(entryVm, name -> new HashMap<>()).put(kind, handler);
            }
        };
    }

    private void transmit(Runnable message) {
        if (!cut) {
            inTransit.add(message);
        }
    }

    private CompletableFuture<PeerEnvelope> handle(String sender, String address, PeerEnvelope body) {
        PeerMessageHandler handler = handlers.getOrDefault(address, Map.of()).get(body.getBodyCase());
        return handler == null
                ? new CompletableFuture<>()
                : handler.handle(body.toBuilder().setSenderEntryVm(sender).build());
    }
}
