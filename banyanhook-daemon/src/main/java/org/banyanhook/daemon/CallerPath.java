package org.banyanhook.daemon;

import static java.util.Objects.requireNonNull;

import com.google.common.io.Closer;
import io.micrometer.core.instrument.MeterRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.Executor;
import org.banyanhook.core.transaction.TransactionStep;
import org.banyanhook.daemon.backend.BackendConnectionPool;
import org.banyanhook.daemon.backend.BackendHttpClientFactory;
import org.banyanhook.daemon.caller.AccountFinder;
import org.banyanhook.daemon.caller.CallerDrain;
import org.banyanhook.daemon.caller.CallerServer;
import org.banyanhook.daemon.caller.ServiceFilter;
import org.banyanhook.daemon.configuration.ConfigurationSource;
import org.banyanhook.daemon.execution.DepartureWatch;
import org.banyanhook.daemon.execution.LocalStatementExecutor;
import org.banyanhook.daemon.execution.LocalTransactionExecutor;
import org.banyanhook.daemon.execution.MemberChooser;
import org.banyanhook.daemon.execution.OutcomeReader;
import org.banyanhook.daemon.execution.TransactionExecutor;
import org.banyanhook.daemon.execution.WorkGate;
import org.banyanhook.daemon.forwarding.ForwardedStatementHandler;
import org.banyanhook.daemon.forwarding.ForwardedTransactionHandler;
import org.banyanhook.daemon.forwarding.ForwardingExecutor;
import org.banyanhook.daemon.forwarding.ForwardingTransactionExecutor;
import org.banyanhook.daemon.forwarding.HomeDirectory;
import org.banyanhook.daemon.peer.PeerMessenger;
import org.banyanhook.daemon.primary.PositionConfirmer;
import org.banyanhook.daemon.primary.PrimaryDirectory;
import org.banyanhook.daemon.rate.RateLimiter;
import org.banyanhook.daemon.settings.Addresses;
import org.banyanhook.daemon.settings.CallerSettings;
import org.banyanhook.daemon.settings.DaemonSettings;
import org.banyanhook.daemon.settings.ServerTlsSettings;
import org.banyanhook.protocol.generated.PeerEnvelope;
import org.eclipse.jetty.client.HttpClient;
import org.jspecify.annotations.Nullable;

/** The parts of a daemon from a caller's request to the backend servers, connected. */
final class CallerPath implements AutoCloseable {

    private final Closer closer = Closer.create();
    private final WorkGate gate = new WorkGate();
    private final LocalTransactionExecutor localTransactions;
    private final CallerServer server;

    private CallerPath(Builder builder) throws Exception {
        DaemonSettings settings = requireNonNull(builder.settings, "settings");
        ConfigurationSource configuration = requireNonNull(builder.configuration, "configuration");
        PrimaryDirectory directory = requireNonNull(builder.directory, "directory");
        PeerMessenger messenger = requireNonNull(builder.messenger, "messenger");
        HomeDirectory homes = requireNonNull(builder.homes, "homes");
        MeterRegistry meters = requireNonNull(builder.meters, "meters");
        HttpClient client = BackendHttpClientFactory.start(requireNonNull(builder.callbacks, "callbacks"));
        closer.register(() -> stop(client));
        BackendConnectionPool pool = new BackendConnectionPool(client, meters);
        closer.register(pool::close);
        DepartureWatch departures = new DepartureWatch(settings.entryVm(), settings.failureDomain(), configuration);
        closer.register(departures::close);
        LocalStatementExecutor localStatements = LocalStatementExecutor.builder()
                .configuration(configuration)
                .directory(directory)
                .confirmer(requireNonNull(builder.confirmer, "confirmer"))
                .pool(pool)
                .connectionShare(homes::connectionShare)
                .chooser(new MemberChooser(configuration, directory, departures))
                .meters(meters)
                .build();
        this.localTransactions = new LocalTransactionExecutor(settings.entryVm(), builder.incarnation, localStatements);
        closer.register(localTransactions::close);
        messenger.handle(
                PeerEnvelope.BodyCase.FORWARDED_STATEMENT,
                new ForwardedStatementHandler(
                        configuration, command -> departures.guard(() -> localStatements.execute(command)), gate));
        messenger.handle(
                PeerEnvelope.BodyCase.FORWARDED_TRANSACTION_STEP,
                new ForwardedTransactionHandler(configuration, guardBegin(departures), gate));
        CallerServer.Builder callers = CallerServer.builder()
                .configuration(configuration)
                .accounts(requireNonNull(builder.accounts, "accounts"))
                .rateLimiter(requireNonNull(builder.rateLimiter, "rateLimiter"))
                .closesConnections(departures::isDeparting)
                .firstFilter(new ServiceFilter(departures))
                .statements(ForwardingExecutor.builder()
                        .homes(homes)
                        .local(localStatements)
                        .messenger(messenger)
                        .configuration(configuration)
                        .meters(meters)
                        .build())
                .transactions(new ForwardingTransactionExecutor(homes, localTransactions, messenger))
                .outcomes(new OutcomeReader(localStatements))
                .gate(gate)
                .meters(meters);
        applySettings(callers, settings.callers());
        this.server = callers.build();
    }

    private TransactionExecutor guardBegin(DepartureWatch departures) {
        return command -> command.step() == TransactionStep.BEGIN
                ? departures.guard(() -> localTransactions.execute(command))
                : localTransactions.execute(command);
    }

    static Builder builder() {
        return new Builder();
    }

    /**
     * Starts to listen for callers.
     *
     * @throws Exception if the address cannot be bound
     */
    void start() throws Exception {
        server.start();
    }

    /** Returns the port that callers use, once started. */
    int port() {
        return server.port();
    }

    /**
     * Takes the path out of service without cutting a request, and stops listening. Blocks.
     *
     * @param announcement how long to serve on while callers and peers learn of the shutdown
     * @param limit how long requests in flight and open transactions may take after that
     * @return true if all ended within the limit
     * @throws Exception if the server does not close
     */
    boolean drain(Duration announcement, Duration limit) throws Exception {
        return new CallerDrain(server, gate, localTransactions::openCount).run(announcement, limit);
    }

    @Override
    public void close() throws Exception {
        server.close();
        closer.close();
    }

    private static void applySettings(CallerServer.Builder callers, CallerSettings settings) throws Exception {
        InetSocketAddress address = Addresses.parse(settings.address());
        callers.host(address.getAddress().getHostAddress())
                .port(address.getPort())
                .maximumBodyBytes(settings.maximumBodyBytes())
                .defaultDeadline(Duration.ofMillis(settings.defaultDeadlineMillis()));
        ServerTlsSettings tls = settings.tls();
        if (tls != null) {
            callers.tls(Path.of(tls.certificateChain()), Path.of(tls.privateKey()));
        }
    }

    private static void stop(HttpClient client) throws IOException {
        try {
            client.stop();
        } catch (Exception exception) {
            throw new IOException("the client of backend servers could not be stopped", exception);
        }
    }

    /** Builds a {@link CallerPath}. Not safe for use by several threads. */
    static final class Builder {
        private @Nullable DaemonSettings settings;
        private @Nullable ConfigurationSource configuration;
        private @Nullable PrimaryDirectory directory;
        private @Nullable PositionConfirmer confirmer;
        private @Nullable RateLimiter rateLimiter;
        private @Nullable PeerMessenger messenger;
        private @Nullable HomeDirectory homes;
        private @Nullable Executor callbacks;
        private @Nullable MeterRegistry meters;
        private long incarnation;
        private @Nullable AccountFinder accounts;

        private Builder() {}

        /** Sets the settings of the daemon. */
        Builder settings(DaemonSettings value) {
            this.settings = value;
            return this;
        }

        /** Sets the incarnation of this daemon, another one after each start. */
        Builder incarnation(long value) {
            this.incarnation = value;
            return this;
        }

        /** Sets what gives the configuration. */
        Builder configuration(ConfigurationSource value) {
            this.configuration = value;
            return this;
        }

        /** Sets what knows the primaries. */
        Builder directory(PrimaryDirectory value) {
            this.directory = value;
            return this;
        }

        /** Sets what confirms positions. */
        Builder confirmer(PositionConfirmer value) {
            this.confirmer = value;
            return this;
        }

        /** Sets what holds accounts to their rate. */
        Builder rateLimiter(RateLimiter value) {
            this.rateLimiter = value;
            return this;
        }

        /** Sets the links to other daemons, not started yet. */
        Builder messenger(PeerMessenger value) {
            this.messenger = value;
            return this;
        }

        /** Sets what knows the homes. */
        Builder homes(HomeDirectory value) {
            this.homes = value;
            return this;
        }

        /** Sets what runs the callbacks of connections to backend servers. */
        Builder callbacks(Executor value) {
            this.callbacks = value;
            return this;
        }

        /** Sets what receives the metrics. */
        Builder meters(MeterRegistry value) {
            this.meters = value;
            return this;
        }

        /** Sets what finds the client account of a key. */
        Builder accounts(AccountFinder value) {
            this.accounts = value;
            return this;
        }

        /**
         * Creates the path and registers its handlers of peer messages; it does not listen yet.
         *
         * @return the path
         * @throws Exception if a part could not be created
         */
        CallerPath build() throws Exception {
            return new CallerPath(this);
        }
    }
}
