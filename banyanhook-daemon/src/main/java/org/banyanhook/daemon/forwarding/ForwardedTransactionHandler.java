package org.banyanhook.daemon.forwarding;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.CompletableFuture;
import org.banyanhook.core.configuration.Route;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.daemon.configuration.ConfigurationSource;
import org.banyanhook.daemon.execution.TransactionExecutor;
import org.banyanhook.daemon.execution.TransactionOutcome;
import org.banyanhook.daemon.execution.WorkGate;
import org.banyanhook.daemon.peer.PeerMessageHandler;
import org.banyanhook.protocol.generated.ForwardedTransactionStep;
import org.banyanhook.protocol.generated.PeerEnvelope;

/**
 * Runs the steps of transactions that other entry VMs forward to this one as their home.
 *
 * <p>While this entry VM drains, no transaction begins, but open ones go on to their end. Safe for use by several
 * threads.
 */
public final class ForwardedTransactionHandler implements PeerMessageHandler {

    private final ConfigurationSource configuration;
    private final TransactionExecutor local;
    private final WorkGate gate;

    /**
     * Creates a handler.
     *
     * @param configuration gives the routes
     * @param local runs the steps
     * @param gate refuses new transactions while this entry VM drains
     */
    public ForwardedTransactionHandler(ConfigurationSource configuration, TransactionExecutor local, WorkGate gate) {
        this.configuration = requireNonNull(configuration, "configuration");
        this.local = requireNonNull(local, "local");
        this.gate = requireNonNull(gate, "gate");
    }

    @Override
    public CompletableFuture<PeerEnvelope> handle(PeerEnvelope message) {
        ForwardedTransactionStep step = message.getForwardedTransactionStep();
        long nowNanos = System.nanoTime();
        CompletableFuture<TransactionOutcome> outcome = step.getStep() == ForwardedTransactionStep.Step.BEGIN
                ? gate.run(() -> local.execute(ForwardedTransactions.begin(step, route(step), nowNanos)))
                : gate.runAlways(() -> local.execute(ForwardedTransactions.continuation(step, nowNanos)));
        return outcome.thenApply(ForwardedTransactions::result);
    }

    private Route route(ForwardedTransactionStep step) throws RefusalException {
        return ForwardedRoutes.find(
                configuration.current(), step.getService(), step.getDatabase(), step.getStatement());
    }
}
