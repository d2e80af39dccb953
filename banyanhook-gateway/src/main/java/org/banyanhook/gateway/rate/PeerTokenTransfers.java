package org.banyanhook.gateway.rate;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.banyanhook.core.rate.LendingDecision;
import org.banyanhook.core.rate.PendingTokenRequests;
import org.banyanhook.core.rate.Tokens;
import org.banyanhook.daemon.peer.PeerMessenger;
import org.banyanhook.gateway.fleet.FleetDirectory;
import org.banyanhook.gateway.port.DaemonEntry;
import org.banyanhook.protocol.generated.PeerEnvelope;
import org.banyanhook.protocol.generated.TokenRequest;
import org.banyanhook.protocol.generated.TokenTransfer;

/** Sends requests for tokens to other daemons and answers theirs. */
public final class PeerTokenTransfers implements AccountRateLimiter.TokenLender {

    private final PeerMessenger messenger;
    private final FleetDirectory directory;
    private final EventLoop eventLoop;

    /**
     * Creates the token transfers of this daemon.
     *
     * @param messenger sends messages to other daemons
     * @param directory provides the addresses of the other daemons
     * @param eventLoop the event loop on which answers are handled
     */
    public PeerTokenTransfers(PeerMessenger messenger, FleetDirectory directory, EventLoop eventLoop) {
        this.messenger = messenger;
        this.directory = directory;
        this.eventLoop = eventLoop;
    }

    /**
     * Starts to answer the requests of other daemons.
     *
     * @param rateLimiter lends the tokens
     */
    public void serve(AccountRateLimiter rateLimiter) {
        messenger.registerHandler(
                PeerEnvelope.BodyCase.TOKEN_REQUEST,
                message -> CompletableFuture.supplyAsync(
                        () -> respond(rateLimiter, message.getTokenRequest()), eventLoop));
    }

    @Override
    public void requestTokens(
            PendingTokenRequests.Request request, Duration timeout, AccountRateLimiter.TransferListener listener) {
        DaemonEntry peer = directory.daemons().get(request.peer());
        if (peer == null) {
            eventLoop.execute(listener::onNoAnswer);
            return;
        }
        PeerEnvelope body = PeerEnvelope.newBuilder()
                .setTokenRequest(TokenRequest.newBuilder()
                        .setClientAccount(request.clientAccount())
                        .setRequestSequence(request.sequence())
                        .setTokens(Tokens.toTokens(request.micros())))
                .build();
        messenger
                .request(peer.peerAddress(), body, timeout)
                .whenCompleteAsync(
                        (reply, failure) -> {
                            if (reply == null) {
                                listener.onNoAnswer();
                                return;
                            }
                            TokenTransfer transfer = reply.getTokenTransfer();
                            listener.onTransfer(
                                    Tokens.receivedToMicros(transfer.getTokens()),
                                    Tokens.receivedToMicros(transfer.getLendableTokens()));
                        },
                        eventLoop);
    }

    private static PeerEnvelope respond(AccountRateLimiter rateLimiter, TokenRequest request) {
        LendingDecision decision =
                rateLimiter.lend(request.getClientAccount(), Tokens.receivedToMicros(request.getTokens()));
        return PeerEnvelope.newBuilder()
                .setTokenTransfer(TokenTransfer.newBuilder()
                        .setClientAccount(request.getClientAccount())
                        .setRequestSequence(request.getRequestSequence())
                        .setTokens(Tokens.toTokens(decision.lentMicros()))
                        .setLendableTokens(Tokens.toTokens(decision.lendableMicros())))
                .build();
    }
}
