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

/** Carries requests for tokens and their answers between daemons. */
public final class PeerTokens implements RateGate.PeerLending {

    private final PeerMessenger messenger;
    private final FleetDirectory directory;
    private final EventLoop eventLoop;

    /**
     * Creates the carrier.
     *
     * @param messenger the links to other daemons
     * @param directory tells their addresses
     * @param eventLoop where answers are handled
     */
    public PeerTokens(PeerMessenger messenger, FleetDirectory directory, EventLoop eventLoop) {
        this.messenger = messenger;
        this.directory = directory;
        this.eventLoop = eventLoop;
    }

    /**
     * Answers requests of other daemons.
     *
     * @param rates what lends
     */
    public void serve(RateGate rates) {
        messenger.handle(
                PeerEnvelope.BodyCase.TOKEN_REQUEST,
                message -> CompletableFuture.supplyAsync(() -> answer(rates, message.getTokenRequest()), eventLoop));
    }

    @Override
    public void ask(PendingTokenRequests.Request request, Duration timeout, RateGate.LentListener lent) {
        DaemonEntry peer = directory.daemons().get(request.peer());
        if (peer == null) {
            eventLoop.execute(() -> lent.onLent(0, 0));
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
                                lent.onLent(0, 0);
                                return;
                            }
                            TokenTransfer transfer = reply.getTokenTransfer();
                            lent.onLent(
                                    Tokens.receivedToMicros(transfer.getTokens()),
                                    Tokens.receivedToMicros(transfer.getLendableTokens()));
                        },
                        eventLoop);
    }

    private static PeerEnvelope answer(RateGate rates, TokenRequest request) {
        LendingDecision decision = rates.lend(request.getClientAccount(), Tokens.receivedToMicros(request.getTokens()));
        return PeerEnvelope.newBuilder()
                .setTokenTransfer(TokenTransfer.newBuilder()
                        .setClientAccount(request.getClientAccount())
                        .setRequestSequence(request.getRequestSequence())
                        .setTokens(Tokens.toTokens(decision.lentMicros()))
                        .setLendableTokens(Tokens.toTokens(decision.lendableMicros())))
                .build();
    }
}
