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
import org.banyanhook.daemon.caller.AccountAuthenticator;
import org.banyanhook.daemon.caller.CallerDrain;
import org.banyanhook.daemon.caller.CallerServer;
import org.banyanhook.daemon.caller.DrainFilter;
import org.banyanhook.daemon.configuration.ConfigurationSource;
import org.banyanhook.daemon.execution.DrainWatch;
import org.banyanhook.daemon.execution.LocalStatementExecutor;
import org.banyanhook.daemon.execution.LocalTransactionExecutor;
import org.banyanhook.daemon.execution.MemberChooser;
import org.banyanhook.daemon.execution.OutcomeReader;
import org.banyanhook.daemon.execution.RequestGate;
import org.banyanhook.daemon.execution.TransactionExecutor;
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

/**
 * Creates and connects the components that process callers' requests, from the caller server to the backend servers.
 */
final class CallerPipeline implements AutoCloseable {

    private final Closer closer = Closer.create();
    private final RequestGate requestGate = new RequestGate();
    private final LocalTransactionExecutor localTransactions;
    private final CallerServer server;

    private CallerPipeline(Builder builder) throws Exception {
        DaemonSettings settings = requireNonNull(builder.settings, "settings");
        ConfigurationSource configuration = requireNonNull(builder.configuration, "configuration");
        PrimaryDirectory directory = requireNonNull(builder.directory, "directory");
        PeerMessenger messenger = requireNonNull(builder.messenger, "messenger");
        HomeDirectory homes = requireNonNull(builder.homes, "homes");
        MeterRegistry meters = requireNonNull(builder.meters, "meters");
        HttpClient client =
                BackendHttpClientFactory.start(requireNonNull(builder.callbackExecutor, "callbackExecutor"));
        closer.register(() -> stopClient(client));
        BackendConnectionPool pool = new BackendConnectionPool(client, meters);
        closer.register(pool::close);
        DrainWatch drainWatch = new DrainWatch(settings.entryVm(), settings.failureDomain(), configuration);
        closer.register(drainWatch::close);
        LocalStatementExecutor localStatements = LocalStatementExecutor.builder()
                .configuration(configuration)
                .directory(directory)
                .confirmer(requireNonNull(builder.confirmer, "confirmer"))
                .pool(pool)
                .connectionShare(homes::connectionShare)
                .chooser(new MemberChooser(configuration, directory, drainWatch))
                .meters(meters)
                .build();
        this.localTransactions = new LocalTransactionExecutor(settings.entryVm(), builder.incarnation, localStatements);
        closer.register(localTransactions::close);
        messenger.registerHandler(
                PeerEnvelope.BodyCase.FORWARDED_STATEMENT,
                new ForwardedStatementHandler(
                        configuration,
                        command -> drainWatch.runIfInService(() -> localStatements.execute(command)),
                        requestGate));
        messenger.registerHandler(
                PeerEnvelope.BodyCase.FORWARDED_TRANSACTION_STEP,
                new ForwardedTransactionHandler(configuration, guardBegin(drainWatch), requestGate));
        CallerServer.Builder callers = CallerServer.builder()
                .configuration(configuration)
                .authenticator(requireNonNull(builder.authenticator, "authenticator"))
                .rateLimiter(requireNonNull(builder.rateLimiter, "rateLimiter"))
                .connectionCloseCondition(drainWatch::isDraining)
                .preAuthenticationFilter(new DrainFilter(drainWatch))
                .statements(ForwardingExecutor.builder()
                        .homes(homes)
                        .local(localStatements)
                        .messenger(messenger)
                        .configuration(configuration)
                        .meters(meters)
                        .build())
                .transactions(new ForwardingTransactionExecutor(homes, localTransactions, messenger))
                .outcomes(new OutcomeReader(localStatements))
                .requestGate(requestGate)
                .meters(meters);
        applySettings(callers, settings.callers());
        this.server = callers.build();
    }

    private TransactionExecutor guardBegin(DrainWatch drainWatch) {
        return command -> command.step() == TransactionStep.BEGIN
                ? drainWatch.runIfInService(() -> localTransactions.execute(command))
                : localTransactions.execute(command);
    }

    static Builder builder() {
        return new Builder();
    }

    /**
     * Starts the server for callers.
     *
     * @throws Exception if the address cannot be bound
     */
    void start() throws Exception {
        server.start();
    }

    /** Returns the port on which the started server listens for callers. */
    int port() {
        return server.port();
    }

    /**
     * Takes the pipeline out of service without aborting requests in flight, and stops listening. Blocks.
     *
     * @param announcementPeriod how long to continue serving before new requests are refused
     * @param timeout how long to wait after that for requests in flight and open transactions
     * @return true if all of them ended within the timeout
     * @throws Exception if the server cannot be closed
     */
    boolean drain(Duration announcementPeriod, Duration timeout) throws Exception {
        return new CallerDrain(server, requestGate, localTransactions::openCount).run(announcementPeriod, timeout);
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

    private static void stopClient(HttpClient client) throws IOException {
        try {
            client.stop();
        } catch (Exception exception) {
            throw new IOException("could not stop the HTTP client for backend servers", exception);
        }
    }

    /** Builds a {@link CallerPipeline}. Not thread-safe. */
    static final class Builder {
        private @Nullable DaemonSettings settings;
        private @Nullable ConfigurationSource configuration;
        private @Nullable PrimaryDirectory directory;
        private @Nullable PositionConfirmer confirmer;
        private @Nullable RateLimiter rateLimiter;
        private @Nullable PeerMessenger messenger;
        private @Nullable HomeDirectory homes;
        private @Nullable Executor callbackExecutor;
        private @Nullable MeterRegistry meters;
        private long incarnation;
        private @Nullable AccountAuthenticator authenticator;

        private Builder() {}

        /** Sets the settings of the daemon. */
        Builder settings(DaemonSettings value) {
            this.settings = value;
            return this;
        }

        /** Sets the incarnation of this daemon, which differs after each start. */
        Builder incarnation(long value) {
            this.incarnation = value;
            return this;
        }

        /** Sets the source of the configuration. */
        Builder configuration(ConfigurationSource value) {
            this.configuration = value;
            return this;
        }

        /** Sets the directory of primaries. */
        Builder directory(PrimaryDirectory value) {
            this.directory = value;
            return this;
        }

        /** Sets the confirmer of log positions. */
        Builder confirmer(PositionConfirmer value) {
            this.confirmer = value;
            return this;
        }

        /** Sets the rate limiter for client accounts. */
        Builder rateLimiter(RateLimiter value) {
            this.rateLimiter = value;
            return this;
        }

        /** Sets the messenger to peers, which must not be started yet. */
        Builder messenger(PeerMessenger value) {
            this.messenger = value;
            return this;
        }

        /** Sets the directory of the home entry VMs of databases. */
        Builder homes(HomeDirectory value) {
            this.homes = value;
            return this;
        }

        /** Sets the executor for callbacks of connections to backend servers. */
        Builder callbackExecutor(Executor value) {
            this.callbackExecutor = value;
            return this;
        }

        /** Sets the registry of metrics. */
        Builder meters(MeterRegistry value) {
            this.meters = value;
            return this;
        }

        /** Sets the authenticator of keys. */
        Builder authenticator(AccountAuthenticator value) {
            this.authenticator = value;
            return this;
        }

        /**
         * Creates the pipeline and registers its handlers for peer messages. Does not start to listen.
         *
         * @return the pipeline
         * @throws Exception if a component cannot be created
         */
        CallerPipeline build() throws Exception {
            return new CallerPipeline(this);
        }
    }
}
