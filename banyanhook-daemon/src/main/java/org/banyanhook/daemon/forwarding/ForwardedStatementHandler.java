package org.banyanhook.daemon.forwarding;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.CompletableFuture;
import org.banyanhook.core.configuration.Route;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.daemon.configuration.ConfigurationSource;
import org.banyanhook.daemon.execution.RequestGate;
import org.banyanhook.daemon.execution.StatementExecutor;
import org.banyanhook.daemon.peer.PeerMessageHandler;
import org.banyanhook.protocol.generated.ForwardedStatement;
import org.banyanhook.protocol.generated.PeerEnvelope;

/** Executes statements that other entry VMs forward to this one as a home. Safe for use by several threads. */
public final class ForwardedStatementHandler implements PeerMessageHandler {

    private final ConfigurationSource configuration;
    private final StatementExecutor local;
    private final RequestGate gate;

    /**
     * Creates a handler.
     *
     * @param configuration supplies the routes
     * @param local executes the statements
     * @param gate refuses statements while this entry VM drains
     */
    public ForwardedStatementHandler(ConfigurationSource configuration, StatementExecutor local, RequestGate gate) {
        this.configuration = requireNonNull(configuration, "configuration");
        this.local = requireNonNull(local, "local");
        this.gate = requireNonNull(gate, "gate");
    }

    @Override
    public CompletableFuture<PeerEnvelope> handle(PeerEnvelope message) {
        ForwardedStatement statement = message.getForwardedStatement();
        return gate.run(() -> local.execute(
                        ForwardedStatementCodec.decodeStatement(statement, route(statement), System.nanoTime())))
                .thenApply(ForwardedStatementCodec::encodeOutcome);
    }

    private Route route(ForwardedStatement statement) throws RefusalException {
        return ForwardedRoutes.find(
                configuration.current(), statement.getService(), statement.getDatabase(), statement.getRoute());
    }
}
