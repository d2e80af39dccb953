package org.banyanhook.daemon;

import com.google.common.io.Closer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.banyanhook.core.membership.Member;
import org.banyanhook.core.membership.MemberState;
import org.banyanhook.daemon.administration.AdministrationServer;
import org.banyanhook.daemon.administration.CommandInterpreter;
import org.banyanhook.daemon.administration.DatabaseStatus;
import org.banyanhook.daemon.configuration.ConfigurationController;
import org.banyanhook.daemon.forwarding.HomeDirectory;
import org.banyanhook.daemon.membership.EntryVm;
import org.banyanhook.daemon.membership.MembershipController;
import org.banyanhook.daemon.membership.MembershipSource;
import org.banyanhook.daemon.peer.NettyPeerMessenger;
import org.banyanhook.daemon.peer.PeerCertificates;
import org.banyanhook.daemon.platform.HttpPlatformClient;
import org.banyanhook.daemon.primary.BackendControlClient;
import org.banyanhook.daemon.primary.PrimaryController;
import org.banyanhook.daemon.rate.AllotmentController;
import org.banyanhook.daemon.settings.Addresses;
import org.banyanhook.daemon.settings.DaemonSettings;
import org.banyanhook.daemon.settings.PeerTlsSettings;
import org.jspecify.annotations.Nullable;

/** Creates and connects the components of a daemon, starts them in order and closes them in reverse order. */
final class DaemonAssembly implements AutoCloseable {

    private static final Logger LOGGER = LogManager.getLogger(DaemonAssembly.class);
    private static final int CALLBACK_THREAD_COUNT = 4;
    private static final Duration DRAIN_ANNOUNCEMENT_PERIOD = Duration.ofSeconds(1);
    private static final Duration DRAIN_TIMEOUT = Duration.ofSeconds(20);
    private static final Duration ALLOTMENT_RELEASE_TIMEOUT = Duration.ofSeconds(3);

    private final DaemonSettings settings;
    private final long incarnation = System.currentTimeMillis();
    private final Closer closer = Closer.create();
    private final PrometheusMeterRegistry meters = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final ExecutorService callbackExecutor;
    private final HttpPlatformClient platform;
    private final NettyPeerMessenger messenger;
    private final ConfigurationController configuration;
    private final MembershipController membership;
    private final HomeDirectory homes;
    private final PrimaryController primaries;
    private final AllotmentController allotments;
    private final DaemonReadiness readiness;
    private @Nullable CallerPipeline callerPipeline;
    private boolean joinedFleet;

    private DaemonAssembly(DaemonSettings settings) throws IOException {
        this.settings = settings;
        this.callbackExecutor = Executors.newFixedThreadPool(CALLBACK_THREAD_COUNT, DaemonAssembly::newCallbackThread);
        closer.register(callbackExecutor::shutdown);
        this.platform = HttpPlatformClient.builder(settings.platform().address())
                .meterRegistry(meters)
                .build();
        this.messenger = newMessenger();
        DeferredMembershipSource membershipSource = new DeferredMembershipSource();
        this.configuration = newConfiguration(membershipSource);
        this.membership = newMembership();
        membershipSource.set(membership);
        this.homes = new HomeDirectory(settings.entryVm(), settings.failureDomain(), membership, configuration);
        this.primaries = newPrimaries();
        this.allotments = newAllotments();
        this.readiness =
                new DaemonReadiness(settings.entryVm(), settings.failureDomain(), configuration, homes, primaries);
    }

    /**
     * Starts a daemon.
     *
     * @param settings the validated settings
     * @return the running daemon
     * @throws DaemonStartException if a component cannot be started; components that were already started are closed
     */
    static DaemonAssembly start(DaemonSettings settings) throws DaemonStartException {
        DaemonAssembly assembly;
        try {
            assembly = new DaemonAssembly(settings);
        } catch (IOException exception) {
            throw new DaemonStartException(
                    "Entry VM " + settings.entryVm() + " could not start; check the files under peers.tls.", exception);
        }
        try {
            assembly.startComponents();
            return assembly;
        } catch (Exception exception) {
            assembly.close();
            throw new DaemonStartException(
                    "Entry VM " + settings.entryVm() + " could not start; check that its addresses are free.",
                    exception);
        }
    }

    /** Drains requests in progress and closes all components. Further calls have no effect. */
    @Override
    public void close() {
        if (joinedFleet) {
            readiness.withdraw();
            membership.announceShutdown();
            drainCallers();
            releaseAllotment();
        }
        try {
            closer.close();
        } catch (IOException exception) {
            LOGGER.warn("a component could not be closed; the shutdown continues", exception);
        }
    }

    private void drainCallers() {
        CallerPipeline pipeline = callerPipeline;
        callerPipeline = null;
        if (pipeline == null) {
            return;
        }
        try {
            pipeline.drain(DRAIN_ANNOUNCEMENT_PERIOD, DRAIN_TIMEOUT);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            LOGGER.warn("interrupted while draining; requests in flight may be aborted");
        } catch (Exception exception) {
            LOGGER.warn("the caller server could not be closed; the shutdown continues", exception);
        }
    }

    private void releaseAllotment() {
        try {
            allotments.releaseAllotment().get(ALLOTMENT_RELEASE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            LOGGER.warn(
                    "interrupted while releasing the rate allotment; peers reclaim it after this entry VM has stopped");
        } catch (ExecutionException | TimeoutException exception) {
            LOGGER.warn(
                    "could not release the rate allotment; peers reclaim it after this entry VM has stopped",
                    exception);
        }
    }

    private void startComponents() throws Exception {
        registerForClosing(messenger);
        // A second daemon under the same name must not act for the first before it finds the ports taken.
        checkFree(settings.callers().address());
        checkFree(settings.peers().address());
        checkFree(settings.administration().address());
        joinedFleet = true;
        platform.start();
        closer.register(platform::close);
        configuration.start();
        closer.register(configuration::close);
        membership.start();
        closer.register(membership::close);
        primaries.start();
        closer.register(primaries::close);
        allotments.start();
        closer.register(allotments::close);
        createCallerPipeline().start();
        messenger.start();
        startAdministration();
    }

    private static void checkFree(String address) throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.setReuseAddress(true);
            socket.bind(Addresses.parse(address));
        }
    }

    private CallerPipeline createCallerPipeline() throws Exception {
        CallerPipeline pipeline = CallerPipeline.builder()
                .settings(settings)
                .incarnation(incarnation)
                .configuration(configuration)
                .authenticator(configuration.keyAuthenticator()::authenticate)
                .directory(primaries)
                .confirmer(primaries)
                .rateLimiter(allotments)
                .messenger(messenger)
                .homes(homes)
                .callbackExecutor(callbackExecutor)
                .meters(meters)
                .build();
        registerForClosing(pipeline);
        callerPipeline = pipeline;
        return pipeline;
    }

    private void startAdministration() throws IOException {
        CommandInterpreter interpreter = new CommandInterpreter(
                configuration,
                membership,
                this::primaryOf,
                new DirectoryRouteExplainer(configuration, homes, primaries));
        AdministrationServer administration = AdministrationServer.builder(settings.administration())
                .interpreter(interpreter)
                .readiness(readiness)
                .metrics(meters::scrape)
                .version(BanyanhookDaemon.VERSION)
                .configurationVersion(() -> configuration.current().version())
                .build();
        administration.start();
        closer.register(administration::close);
    }

    private Optional<DatabaseStatus.Primary> primaryOf(String database) {
        return primaries
                .primary(database)
                .map(primary -> new DatabaseStatus.Primary(primary.primaryMember(), primary.term()));
    }

    private AllotmentController newAllotments() {
        return AllotmentController.builder(settings.entryVm(), settings.failureDomain(), incarnation)
                .messenger(messenger)
                .platform(platform)
                .membership(membership)
                .configuration(configuration)
                .meterRegistry(meters)
                .build();
    }

    private NettyPeerMessenger newMessenger() throws IOException {
        NettyPeerMessenger.Builder builder = NettyPeerMessenger.builder(settings.entryVm(), settings.failureDomain())
                .listenAddress(Addresses.parse(settings.peers().address()))
                .meterRegistry(meters);
        PeerTlsSettings tls = settings.peers().tls();
        if (tls != null) {
            PeerCertificates certificates = new PeerCertificates(
                    Path.of(tls.certificateChain()), Path.of(tls.privateKey()), Path.of(tls.trustedCertificates()));
            builder.sslContexts(certificates::client, certificates::server);
        }
        return builder.build();
    }

    private ConfigurationController newConfiguration(MembershipSource membershipSource) {
        EntryVm self = new EntryVm(
                settings.entryVm(), settings.failureDomain(), settings.peers().address(), false);
        return ConfigurationController.builder(self)
                .platform(platform)
                .messenger(messenger)
                .membership(membershipSource)
                .seeds(settings.peers().seeds())
                .keyPolicy(settings.isolation().keyPolicy())
                .meterRegistry(meters)
                .build();
    }

    private MembershipController newMembership() {
        Member self = new Member(
                settings.entryVm(),
                settings.failureDomain(),
                settings.peers().address(),
                incarnation,
                MemberState.ALIVE);
        return MembershipController.builder(self, messenger)
                .platform(platform)
                .seeds(settings.peers().seeds())
                .versions(() -> configuration.current().version(), configuration::withdrawalDigest)
                .versionListener(configuration)
                .meterRegistry(meters)
                .build();
    }

    private PrimaryController newPrimaries() {
        BackendControlClient control = BackendControlClient.open();
        closer.register(control::close);
        return PrimaryController.builder()
                .entryVm(settings.entryVm())
                .failureDomain(settings.failureDomain())
                .configuration(configuration)
                .membership(membership)
                .messenger(messenger)
                .platform(platform)
                .control(control)
                .homeEntryVms(homes::homes)
                .callbacks(callbackExecutor)
                .meterRegistry(meters)
                .build();
    }

    private void registerForClosing(AutoCloseable component) {
        closer.register(() -> {
            try {
                component.close();
            } catch (Exception exception) {
                throw new IOException("could not close a component", exception);
            }
        });
    }

    private static Thread newCallbackThread(Runnable task) {
        Thread thread = new Thread(task, "callbacks");
        thread.setDaemon(true);
        return thread;
    }
}
