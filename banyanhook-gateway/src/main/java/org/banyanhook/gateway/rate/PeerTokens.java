package org.banyanhook.gateway.rate;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.banyanhook.core.rate.LendingDecision;
import org.banyanhook.core.rate.Tokens;
import org.banyanhook.core.rate.TransferLedger;
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
        messenger.registerHandler(
                PeerEnvelope.BodyCase.TOKEN_REQUEST,
                message -> CompletableFuture.supplyAsync(() -> answer(rates, message.getTokenRequest()), eventLoop));
    }

    @Override
    public void ask(TransferLedger.Request request, Duration timeout, RateGate.LentListener lent) {
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
                                    Tokens.received(transfer.getTokens()),
                                    Tokens.received(transfer.getLendableTokens()));
                        },
                        eventLoop);
    }

    private static PeerEnvelope answer(RateGate rates, TokenRequest request) {
        LendingDecision decision = rates.lend(request.getClientAccount(), Tokens.received(request.getTokens()));
        return PeerEnvelope.newBuilder()
                .setTokenTransfer(TokenTransfer.newBuilder()
                        .setClientAccount(request.getClientAccount())
                        .setRequestSequence(request.getRequestSequence())
                        .setTokens(Tokens.toTokens(decision.micros()))
                        .setLendableTokens(Tokens.toTokens(decision.lendableMicros())))
                .build();
    }
}
