package org.banyanhook.daemon.caller;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import io.micrometer.core.instrument.MeterRegistry;
import java.io.IOException;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.banyanhook.daemon.configuration.ConfigurationSource;
import org.banyanhook.daemon.execution.OutcomeReader;
import org.banyanhook.daemon.execution.RequestGate;
import org.banyanhook.daemon.execution.StatementExecutor;
import org.banyanhook.daemon.execution.TransactionExecutor;
import org.banyanhook.daemon.rate.RateLimiter;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.SecureRequestCustomizer;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.jspecify.annotations.Nullable;

/** The HTTP server for callers. */
public final class CallerServer implements AutoCloseable {

    /** Larger than the header limit, so that slightly oversized headers are read and refused with a problem reply. */
    private static final int HEADER_BUFFER_BYTES = 4 * CallerHandler.MAXIMUM_HEADER_CHARACTERS;

    private static final int MAXIMUM_THREADS = 64;
    private static final int MINIMUM_THREADS = 8;
    private static final long IDLE_TIMEOUT_MILLIS = 75_000;
    private static final long SHUTDOWN_IDLE_TIMEOUT_MILLIS = 200;
    private static final long STOP_TIMEOUT_MILLIS = 2_000;

    private final Server server;
    private final ServerConnector connector;
    private final CallerHandler handler;
    private final @Nullable ServerCertificate certificate;

    private CallerServer(Builder builder) {
        RequestGate requestGate = requireNonNull(builder.requestGate, "requestGate");
        MeterRegistry meters = requireNonNull(builder.meters, "meters");
        ConfigurationSource configuration = requireNonNull(builder.configuration, "configuration");
        QueuedThreadPool threads = new QueuedThreadPool(MAXIMUM_THREADS, MINIMUM_THREADS);
        threads.setName("caller");
        this.server = new Server(threads);
        this.certificate = builder.certificate;
        this.connector = connector(server, certificate);
        connector.setHost(builder.host);
        connector.setPort(builder.port);
        connector.setIdleTimeout(IDLE_TIMEOUT_MILLIS);
        connector.setShutdownIdleTimeout(SHUTDOWN_IDLE_TIMEOUT_MILLIS);
        server.setStopTimeout(STOP_TIMEOUT_MILLIS);
        server.addConnector(connector);
        server.setErrorHandler(new ProblemErrorHandler());
        this.handler = new CallerHandler(configuration, FilterChain.of(filters(builder)), requestGate, meters);
        handler.setLimits(builder.maximumBodyBytes, builder.defaultDeadline);
        handler.setConnectionCloseCondition(builder.connectionCloseCondition);
        server.setHandler(handler);
    }

    /** Returns a new builder. */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Starts the server.
     *
     * @throws Exception if the address cannot be bound
     */
    public void start() throws Exception {
        server.start();
    }

    /** Returns the port on which the started server listens. */
    public int port() {
        return connector.getLocalPort();
    }

    /** Sets the header {@code Connection: close} on all further replies. */
    public void requestConnectionClose() {
        handler.setConnectionCloseCondition(() -> true);
    }

    /** Replies to all outstanding requests with what is known of them, and refuses further ones as not run. */
    public void endService() {
        handler.endService();
    }

    /**
     * Stops listening and closes all connections; connections that wait to be accepted are answered first. Requests may
     * be aborted unless the request gate counted none in progress before the call.
     *
     * @throws Exception if the server cannot be stopped
     */
    @Override
    public void close() throws Exception {
        server.stop();
        if (certificate != null) {
            certificate.close();
        }
    }

    private static ServerConnector connector(Server server, @Nullable ServerCertificate certificate) {
        HttpConfiguration http = httpConfiguration();
        if (certificate == null) {
            return new CallerConnector(server, null, new HttpConnectionFactory(http));
        }
        SecureRequestCustomizer customizer = new SecureRequestCustomizer();
        customizer.setSniHostCheck(false);
        http.addCustomizer(customizer);
        return new CallerConnector(server, certificate.sslContextFactory(), new HttpConnectionFactory(http));
    }

    private static HttpConfiguration httpConfiguration() {
        HttpConfiguration http = new HttpConfiguration();
        http.setRequestHeaderSize(HEADER_BUFFER_BYTES);
        http.setSendServerVersion(false);
        http.setSendDateHeader(false);
        return http;
    }

    private static List<RequestFilter> filters(Builder builder) {
        SessionFilter sessions = new SessionFilter();
        StatementExecutor statements = requireNonNull(builder.statements, "statements");
        List<RequestFilter> filters = new ArrayList<>(builder.preAuthenticationFilters);
        filters.add(new AuthenticationFilter(requireNonNull(builder.authenticator, "authenticator")));
        filters.add(sessions);
        filters.add(new RoutingFilter());
        filters.add(new RateLimitFilter(requireNonNull(builder.rateLimiter, "rateLimiter")));
        filters.add(new ExecutionStartFilter());
        filters.add(new StatementFilter(statements, sessions));
        filters.add(new TransactionFilter(requireNonNull(builder.transactions, "transactions"), sessions));
        filters.add(new OutcomeFilter(requireNonNull(builder.outcomes, "outcomes"), sessions));
        return ImmutableList.copyOf(filters);
    }

    /** Builds a {@link CallerServer}. Not thread-safe. */
    public static final class Builder {
        private String host = "127.0.0.1";
        private int port;
        private int maximumBodyBytes = CallerBodyParser.DEFAULT_MAXIMUM_BODY_BYTES;
        private Duration defaultDeadline = CallerExchange.DEFAULT_DEADLINE;
        private final List<RequestFilter> preAuthenticationFilters = new ArrayList<>();
        private BooleanSupplier connectionCloseCondition = () -> false;
        private @Nullable ServerCertificate certificate;
        private @Nullable ConfigurationSource configuration;
        private @Nullable AccountAuthenticator authenticator;
        private @Nullable RateLimiter rateLimiter;
        private @Nullable StatementExecutor statements;
        private @Nullable TransactionExecutor transactions;
        private @Nullable OutcomeReader outcomes;
        private @Nullable RequestGate requestGate;
        private @Nullable MeterRegistry meters;

        private Builder() {}

        /** Sets the IP address to listen on. */
        public Builder host(String value) {
            this.host = value;
            return this;
        }

        /** Sets the port to listen on; 0 selects a free port. */
        public Builder port(int value) {
            this.port = value;
            return this;
        }

        /**
         * Sets the certificate to present to callers. Without a certificate the server does not use TLS.
         *
         * @param certificateChain a PEM file with the certificate of the server first, reloaded when replaced
         * @param privateKey a PEM file with the private key in PKCS #8
         * @return this builder
         * @throws IOException if a file cannot be read
         * @throws GeneralSecurityException if a file does not contain a valid certificate or key
         */
        public Builder tls(Path certificateChain, Path privateKey) throws IOException, GeneralSecurityException {
            this.certificate = new ServerCertificate(certificateChain, privateKey);
            return this;
        }

        /** Sets a condition under which replies carry the header {@code Connection: close}. */
        public Builder connectionCloseCondition(BooleanSupplier value) {
            this.connectionCloseCondition = value;
            return this;
        }

        /** Sets the limit of a request body, in bytes. */
        public Builder maximumBodyBytes(int value) {
            checkArgument(value > 0, "maximumBodyBytes must be positive, was %s", value);
            this.maximumBodyBytes = value;
            return this;
        }

        /** Sets the deadline of requests that specify none. */
        public Builder defaultDeadline(Duration value) {
            checkArgument(!value.isNegative() && !value.isZero(), "defaultDeadline must be positive, was %s", value);
            this.defaultDeadline = value;
            return this;
        }

        /** Adds a filter that runs before authentication, after those added earlier. */
        public Builder preAuthenticationFilter(RequestFilter value) {
            this.preAuthenticationFilters.add(value);
            return this;
        }

        /** Sets the source of the configuration. */
        public Builder configuration(ConfigurationSource value) {
            this.configuration = value;
            return this;
        }

        /** Sets the authenticator of keys. */
        public Builder authenticator(AccountAuthenticator value) {
            this.authenticator = value;
            return this;
        }

        /** Sets the rate limiter for client accounts. */
        public Builder rateLimiter(RateLimiter value) {
            this.rateLimiter = value;
            return this;
        }

        /** Sets the executor of single statements. */
        public Builder statements(StatementExecutor value) {
            this.statements = value;
            return this;
        }

        /** Sets the executor of transaction steps. */
        public Builder transactions(TransactionExecutor value) {
            this.transactions = value;
            return this;
        }

        /** Sets the reader of recorded outcomes. */
        public Builder outcomes(OutcomeReader value) {
            this.outcomes = value;
            return this;
        }

        /** Sets the gate that counts requests and refuses new ones while this entry VM drains. */
        public Builder requestGate(RequestGate value) {
            this.requestGate = value;
            return this;
        }

        /** Sets the registry of metrics. */
        public Builder meters(MeterRegistry value) {
            this.meters = value;
            return this;
        }

        /** Creates the server without starting it. */
        public CallerServer build() {
            return new CallerServer(this);
        }
    }
}
