package org.banyanhook.daemon.administration;

import static com.google.common.base.Preconditions.checkState;
import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.banyanhook.daemon.settings.Addresses;
import org.banyanhook.daemon.settings.AdministrationSettings;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.server.handler.SizeLimitHandler;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.jspecify.annotations.Nullable;

/** HTTP server for operators: health, metrics, version and commands. Safe for use by several threads. */
public final class AdministrationServer implements AutoCloseable {

    private static final Logger LOGGER = LogManager.getLogger(AdministrationServer.class);
    private static final int MAXIMUM_THREADS = 8;
    private static final int MINIMUM_THREADS = 2;
    private static final long NO_RESPONSE_LIMIT = -1;
    private static final long IDLE_TIMEOUT_MILLIS = 30_000;

    private final Server server;
    private final ServerConnector connector;

    private AdministrationServer(Builder builder) {
        QueuedThreadPool threads = new QueuedThreadPool(MAXIMUM_THREADS, MINIMUM_THREADS);
        threads.setName("administration");
        threads.setDaemon(true);
        this.server = new Server(threads);
        HttpConfiguration httpConfiguration = new HttpConfiguration();
        httpConfiguration.setSendServerVersion(false);
        InetSocketAddress address = Addresses.parse(builder.settings().address());
        this.connector = new ServerConnector(server, 1, 1, new HttpConnectionFactory(httpConfiguration));
        connector.setHost(address.getAddress().getHostAddress());
        connector.setPort(address.getPort());
        connector.setIdleTimeout(IDLE_TIMEOUT_MILLIS);
        server.addConnector(connector);
        SizeLimitHandler sizeLimitHandler =
                new SizeLimitHandler(AdministrationHandler.MAXIMUM_BODY_BYTES, NO_RESPONSE_LIMIT);
        sizeLimitHandler.setHandler(new AdministrationHandler(builder));
        server.setHandler(sizeLimitHandler);
    }

    /**
     * Creates a builder.
     *
     * @param settings the address to listen on and the operators' keys
     * @return a new builder
     */
    public static Builder builder(AdministrationSettings settings) {
        return new Builder(settings);
    }

    /**
     * Opens the port.
     *
     * @return the address that the server listens on
     * @throws IOException if the port cannot be opened
     */
    public InetSocketAddress start() throws IOException {
        try {
            server.start();
        } catch (Exception exception) {
            throw new IOException(
                    "cannot listen on " + connector.getHost() + ":" + connector.getPort()
                            + "; set a free address in administration.address",
                    exception);
        }
        InetSocketAddress address = new InetSocketAddress(connector.getHost(), connector.getLocalPort());
        LOGGER.info("administration server listens on {}", Addresses.format(address));
        return address;
    }

    @Override
    public void close() {
        try {
            server.stop();
        } catch (Exception exception) {
            LOGGER.warn("cannot stop the administration server", exception);
        }
    }

    /** Builds an {@link AdministrationServer}. Not safe for use by several threads. */
    public static final class Builder {
        private final AdministrationSettings settings;
        private ReadinessProbe readiness = List::of;
        private Supplier<String> metrics = () -> "";
        private String version = "unknown";
        private LongSupplier configurationVersion = () -> 0;
        private @Nullable CommandInterpreter interpreter;

        private Builder(AdministrationSettings settings) {
            this.settings = requireNonNull(settings, "settings");
        }

        /** Sets the interpreter that runs commands. Required. */
        public Builder interpreter(CommandInterpreter value) {
            this.interpreter = requireNonNull(value, "interpreter");
            return this;
        }

        /** Sets the probe for the readiness of the daemon. Default: always ready. */
        public Builder readiness(ReadinessProbe value) {
            this.readiness = requireNonNull(value, "readiness");
            return this;
        }

        /** Sets the supplier of the metrics in the Prometheus text format. Default: empty. */
        public Builder metrics(Supplier<String> value) {
            this.metrics = requireNonNull(value, "metrics");
            return this;
        }

        /** Sets the version of the program. Default: {@code unknown}. */
        public Builder version(String value) {
            this.version = requireNonNull(value, "version");
            return this;
        }

        /** Sets the supplier of the version of the configuration in force. Default: 0. */
        public Builder configurationVersion(LongSupplier value) {
            this.configurationVersion = requireNonNull(value, "configurationVersion");
            return this;
        }

        /**
         * Creates the server without starting it.
         *
         * @throws IllegalStateException if the interpreter is not set
         */
        public AdministrationServer build() {
            checkState(interpreter != null, "interpreter must be set before build()");
            return new AdministrationServer(this);
        }

        AdministrationSettings settings() {
            return settings;
        }

        CommandInterpreter interpreter() {
            return requireNonNull(interpreter);
        }

        ReadinessProbe readiness() {
            return readiness;
        }

        Supplier<String> metrics() {
            return metrics;
        }

        String version() {
            return version;
        }

        LongSupplier configurationVersion() {
            return configurationVersion;
        }
    }
}
