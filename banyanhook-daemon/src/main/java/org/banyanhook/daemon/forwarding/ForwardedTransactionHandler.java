package org.banyanhook.daemon.forwarding;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.CompletableFuture;
import org.banyanhook.core.configuration.Route;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.daemon.configuration.ConfigurationSource;
import org.banyanhook.daemon.execution.RequestGate;
import org.banyanhook.daemon.execution.TransactionExecutor;
import org.banyanhook.daemon.execution.TransactionOutcome;
import org.banyanhook.daemon.peer.PeerMessageHandler;
import org.banyanhook.protocol.generated.ForwardedTransactionStep;
import org.banyanhook.protocol.generated.PeerEnvelope;

/**
 * Executes transaction steps that other entry VMs forward to this one as the home of the transaction.
 *
 * <p>While this entry VM drains, new transactions are refused, but open ones can still be finished. Safe for use by
 * several threads.
 */
public final class ForwardedTransactionHandler implements PeerMessageHandler {

    private final ConfigurationSource configuration;
    private final TransactionExecutor local;
    private final RequestGate gate;

    /**
     * Creates a handler.
     *
     * @param configuration supplies the routes
     * @param local executes the steps
     * @param gate refuses new transactions while this entry VM drains
     */
    public ForwardedTransactionHandler(ConfigurationSource configuration, TransactionExecutor local, RequestGate gate) {
        this.configuration = requireNonNull(configuration, "configuration");
        this.local = requireNonNull(local, "local");
        this.gate = requireNonNull(gate, "gate");
    }

    @Override
    public CompletableFuture<PeerEnvelope> handle(PeerEnvelope message) {
        ForwardedTransactionStep step = message.getForwardedTransactionStep();
        long nowNanos = System.nanoTime();
        CompletableFuture<TransactionOutcome> outcome = step.getStep() == ForwardedTransactionStep.Step.BEGIN
                ? gate.run(() -> local.execute(ForwardedTransactionCodec.decodeBegin(step, route(step), nowNanos)))
                : gate.runEvenIfClosed(() -> local.execute(ForwardedTransactionCodec.decodeLaterStep(step, nowNanos)));
        return outcome.thenApply(ForwardedTransactionCodec::encodeOutcome);
    }

    private Route route(ForwardedTransactionStep step) throws RefusalException {
        return ForwardedRoutes.find(
                configuration.current(), step.getService(), step.getDatabase(), step.getStatement());
    }
}
