package org.banyanhook.gateway;

import static java.util.Objects.requireNonNull;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.banyanhook.core.execution.ShutdownSchedule;
import org.banyanhook.core.store.StoreRevision;
import org.banyanhook.core.usage.UsageSettings;
import org.banyanhook.daemon.peer.NettyPeerMessenger;
import org.banyanhook.gateway.backend.ConnectionProbe;
import org.banyanhook.gateway.backend.DatabaseGroups;
import org.banyanhook.gateway.backend.GroupContext;
import org.banyanhook.gateway.backend.NettyMemberConnector;
import org.banyanhook.gateway.capacity.CapacityExchange;
import org.banyanhook.gateway.fleet.DaemonRegistration;
import org.banyanhook.gateway.fleet.EraCheckedStore;
import org.banyanhook.gateway.fleet.FleetDirectory;
import org.banyanhook.gateway.fleet.StoreEras;
import org.banyanhook.gateway.fleet.StoreMirror;
import org.banyanhook.gateway.home.ConnectionHomes;
import org.banyanhook.gateway.home.HomeLeases;
import org.banyanhook.gateway.operation.DecisionLog;
import org.banyanhook.gateway.operation.GatewayMetrics;
import org.banyanhook.gateway.operation.HttpEndpoint;
import org.banyanhook.gateway.operation.ListeningChannel;
import org.banyanhook.gateway.operation.MonotonicClock;
import org.banyanhook.gateway.operation.NettyBootstraps;
import org.banyanhook.gateway.operation.PauseDetector;
import org.banyanhook.gateway.operation.PeriodicChecks;
import org.banyanhook.gateway.port.DaemonEntry;
import org.banyanhook.gateway.port.FleetRecordCodec;
import org.banyanhook.gateway.port.HttpPaths;
import org.banyanhook.gateway.port.PromotionAuthority;
import org.banyanhook.gateway.port.RecordStore;
import org.banyanhook.gateway.port.SessionCodec;
import org.banyanhook.gateway.port.UsageAuthority;
import org.banyanhook.gateway.primary.LostPromotionWriter;
import org.banyanhook.gateway.primary.PeerVoteExchange;
import org.banyanhook.gateway.primary.PromotionController;
import org.banyanhook.gateway.primary.PromotionLeases;
import org.banyanhook.gateway.primary.PromotionVoter;
import org.banyanhook.gateway.primary.PromotionWorkflow;
import org.banyanhook.gateway.primary.StoreOrQuorumPolicy;
import org.banyanhook.gateway.primary.VoterMaintainer;
import org.banyanhook.gateway.rate.AccountRateLimiter;
import org.banyanhook.gateway.rate.PeerTokenTransfers;
import org.banyanhook.gateway.reader.ReaderBackedStore;
import org.banyanhook.gateway.session.ClientConnection;
import org.banyanhook.gateway.session.ClientConnections;
import org.banyanhook.gateway.session.RouteExplanation;
import org.banyanhook.gateway.session.Session;
import org.banyanhook.gateway.session.SessionContext;
import org.banyanhook.gateway.session.SessionRegistry;
import org.banyanhook.gateway.usage.UsageMeter;
import org.banyanhook.gateway.usage.UsageReporting;
import org.jspecify.annotations.Nullable;

/** Assembles the components of a gateway and runs them on one event loop. */
public final class Gateway {

    /** The interval at which queued requests, idle transactions and primaries are checked. */
    private static final long TICK_INTERVAL_MILLIS = 200;

    /** How long the end of the process waits for the store to remove the entry of this daemon. */
    private static final long REGISTRATION_END_TIMEOUT_MILLIS = 350;

    /** The path, on the address for metrics, that explains where a statement would run. */
    private static final String EXPLAIN_PATH = "/explain";

    /**
     * The part of each daemon in the random delay before it registers again after the store was restored. Two calls of
     * each of 120 daemons within 0.6 s are a third of what the store accepts.
     */
    private static final long RESTORE_DELAY_MILLIS_PER_DAEMON = 5;

    private final GatewaySettings settings;
    private final Ports ports;
    private final EventLoopGroup eventLoops;
    private final EventLoop eventLoop;
    private final DecisionLog log;
    private final MonotonicClock clock = MonotonicClock.ofSystem();
    private final PauseDetector pauses = new PauseDetector(System::nanoTime, TICK_INTERVAL_MILLIS);
    private final GatewayMetrics metrics = new GatewayMetrics();
    private final StoreEras eras;
    private final FleetDirectory directory;
    private final ReaderBackedStore watchedStore;
    private final StoreMirror storeMirror;
    private final DaemonRegistration registration;
    private final NettyPeerMessenger messenger;
    private final DatabaseGroups databaseGroups;
    private final AccountRateLimiter rateLimiter;
    private final StoreOrQuorumPolicy primaryAccess;
    private final PromotionController promotionController;
    private final @Nullable UsageReporting usageReporting;
    private final HomeLeases homeLeases;
    private final SessionRegistry sessions = new SessionRegistry();
    private final ClientConnections clientConnections;
    private final SessionContext sessionContext;
    private final PeriodicChecks periodicChecks;
    private volatile @Nullable ListeningChannel clientPort;
    private boolean draining;
    private boolean clientPortClosed;

    /**
     * The adapters that connect the gateway to the platform.
     *
     * @param store the record store
     * @param authority the authority that carries out promotions
     * @param usageAuthority accepts the reports of usage, where the settings require them
     * @param sessionCodec the codec for client and member connections
     * @param recordCodec the names and the format of the records in the store
     * @param paths the paths of the HTTP endpoint
     */
    public record Ports(
            RecordStore store,
            PromotionAuthority authority,
            UsageAuthority usageAuthority,
            SessionCodec sessionCodec,
            FleetRecordCodec recordCodec,
            HttpPaths paths) {}

    /**
     * Creates a gateway. It has to be started with {@link #start()}.
     *
     * @param settings the settings
     * @param ports the adapters to the platform
     * @param eventLoops a group of one event loop, on which all components run
     * @param output the stream that the log is written to
     */
    public Gateway(GatewaySettings settings, Ports ports, EventLoopGroup eventLoops, OutputStream output) {
        this.settings = requireNonNull(settings, "settings");
        this.ports = requireNonNull(ports, "ports");
        this.eventLoops = requireNonNull(eventLoops, "eventLoops");
        this.eventLoop = eventLoops.next();
        this.log = new DecisionLog(settings.entryVm(), output, clock::nowNanos);
        this.eras = new StoreEras(log);
        RecordStore store = new EraCheckedStore(ports.store(), eras);
        this.directory = new FleetDirectory(ports.recordCodec(), log, clock);
        this.messenger = NettyPeerMessenger.builder(settings.entryVm(), settings.failureDomain())
                .listenAddress(settings.peerAddress())
                .eventLoops(eventLoops)
                .build();
        DaemonEntry self =
                new DaemonEntry(settings.entryVm(), settings.failureDomain(), hostAndPort(settings.peerAddress()));
        this.watchedStore = new ReaderBackedStore(new ReaderBackedStore.Context(
                self, store, ports.recordCodec(), messenger, directory, eras, eventLoop, clock, log, metrics));
        this.storeMirror = newStoreMirror();
        this.registration = new DaemonRegistration(
                store,
                ports.recordCodec().daemonKey(settings.entryVm()),
                ports.recordCodec().encode(self),
                storeMirror,
                eventLoop,
                clock,
                log,
                metrics);
        PeerVoteExchange.StoreProgress storeProgress = new ReadStoreProgress();
        PeerVoteExchange voteExchange = new PeerVoteExchange(
                settings.entryVm(), messenger, directory, ports.recordCodec(), eras, eventLoop, clock, storeProgress);
        this.primaryAccess = new StoreOrQuorumPolicy(
                registration::nanosSinceContact, registration::contact, voteExchange, clock, eventLoop, log);
        // Differs between the runs of this daemon, and is not 0, which stands for an unknown run.
        long incarnation = ThreadLocalRandom.current().nextLong(1, Long.MAX_VALUE);
        ConnectionHomes homes =
                new ConnectionHomes(settings.entryVm(), incarnation, messenger, directory, eventLoop, clock);
        GroupContext groupContext = newGroupContext(homes);
        this.databaseGroups = new DatabaseGroups(groupContext);
        directory.addListener(databaseGroups);
        registration.entryLease(() -> directory.daemonLease(settings.entryVm()));
        this.homeLeases =
                new HomeLeases(incarnation, databaseGroups, directory, primaryAccess, eventLoop, clock, log, metrics);
        homeLeases.serve(messenger);
        CapacityExchange capacityExchange = new CapacityExchange(self, messenger, directory, databaseGroups, clock);
        capacityExchange.serve(eventLoop);
        this.rateLimiter = newRateLimiter();
        ConnectionProbe probe = new ConnectionProbe(groupContext);
        PromotionVoter promotionVoter = new PromotionVoter(
                databaseGroups, directory, probe, registration::lastContactNanos, storeMirror::isComplete, clock);
        voteExchange.serve(promotionVoter);
        primaryAccess.groupsWithUnresolvedVotes(promotionVoter::groupsWithUnresolvedVotes);
        PromotionLeases promotionLeases = newPromotionLeases(store);
        LostPromotionWriter lostPromotions = newLostPromotionWriter(store);
        VoterMaintainer voterMaintainer = newVoterMaintainer(store, voteExchange);
        handleRestoredStore(promotionLeases, lostPromotions);
        storeMirror.onFirstReading(promotionLeases::endFormerLeases);
        this.promotionController = newPromotionController(store, promotionLeases, voteExchange, promotionVoter, probe);
        directory.addListener(promotionController);
        this.usageReporting = newUsageReporting(store);
        this.sessionContext = newSessionContext(usageReporting);
        this.clientConnections = new ClientConnections(settings.clientLimits(), clock, log, metrics);
        this.periodicChecks = new PeriodicChecks(
                List.of(
                        pauses::read,
                        directory::tick,
                        watchedStore::tick,
                        databaseGroups::tick,
                        homes::tick,
                        homeLeases::tick,
                        capacityExchange::tick,
                        rateLimiter::tick,
                        primaryAccess::tick,
                        promotionController::tick,
                        lostPromotions::tick,
                        voterMaintainer::tick,
                        clientConnections::tick,
                        () -> sessions.rollBackIdleTransactions(sessionContext),
                        log::flush),
                log);
    }

    private PeerVoteExchange newVoteExchange() {
        return new PeerVoteExchange(
                settings.entryVm(),
                messenger,
                directory,
                ports.recordCodec(),
                eras,
                eventLoop,
                clock,
                new ReadStoreProgress());
    }

    private PromotionLeases newPromotionLeases(RecordStore store) {
        return new PromotionLeases(settings.entryVm(), store, ports.recordCodec(), directory, clock, log);
    }

    private LostPromotionWriter newLostPromotionWriter(RecordStore store) {
        return new LostPromotionWriter(settings.entryVm(), store, ports.recordCodec(), directory, eras, clock, log);
    }

    private VoterMaintainer newVoterMaintainer(RecordStore store, PeerVoteExchange voteExchange) {
        return new VoterMaintainer(
                settings.entryVm(),
                store,
                ports.recordCodec(),
                directory,
                eras,
                voteExchange,
                new ReadStoreProgress(),
                settings::regionOf,
                clock,
                log);
    }

    private GroupContext newGroupContext(ConnectionHomes homes) {
        return new GroupContext(
                settings,
                directory,
                eventLoops,
                primaryAccess,
                ports.sessionCodec(),
                new NettyMemberConnector(eventLoops, ports.sessionCodec()),
                homes,
                clock,
                log,
                metrics);
    }

    private StoreMirror newStoreMirror() {
        StoreMirror mirror = new StoreMirror(
                watchedStore, ports.recordCodec().keyPrefix(), directory, eras, eventLoop, log, metrics);
        mirror.coalesceLimitMillis(watchedStore::coalesceLimitMillis);
        watchedStore.onHistoryLost(mirror::start);
        return mirror;
    }

    private SessionContext newSessionContext(@Nullable UsageReporting usage) {
        return new SessionContext(
                settings,
                directory,
                databaseGroups,
                rateLimiter,
                primaryAccess,
                eventLoop,
                clock,
                log,
                metrics,
                usage == null ? UsageMeter.NONE : usage.meter());
    }

    private AccountRateLimiter newRateLimiter() {
        PeerTokenTransfers tokenTransfers = new PeerTokenTransfers(messenger, directory, eventLoop);
        AccountRateLimiter limiter = new AccountRateLimiter(
                settings.entryVm(),
                settings.failureDomain(),
                settings::regionOf,
                directory,
                tokenTransfers,
                (task, delayNanos) -> eventLoop.schedule(task, delayNanos, TimeUnit.NANOSECONDS),
                clock,
                log,
                metrics);
        tokenTransfers.serve(limiter);
        return limiter;
    }

    /** Arranges what happens when the store has been restored from a copy, and when its new era has been read. */
    private void handleRestoredStore(PromotionLeases promotionLeases, LostPromotionWriter lostPromotions) {
        eras.addListener(promotionLeases::dropAll);
        eras.addListener(primaryAccess::onStoreRestored);
        eras.addListener(registration::onStoreRestored);
        eras.addListener(lostPromotions::onStoreRestored);
        primaryAccess.storeRead(() -> eras.mayDecideIn(eras.newest()));
        registration.restoreDelayLimitMillis(() -> RESTORE_DELAY_MILLIS_PER_DAEMON * directory.daemonsSharingLimits());
        registration.onContact(() -> {
            lostPromotions.writeAgain();
            databaseGroups.tick();
        });
    }

    private @Nullable UsageReporting newUsageReporting(RecordStore store) {
        UsageSettings usage = settings.usage();
        if (usage == null) {
            return null;
        }
        UsageReporting reporting = new UsageReporting(new UsageReporting.Context(
                settings.entryVm(),
                usage,
                store,
                ports.recordCodec(),
                ports.usageAuthority(),
                messenger,
                directory,
                eventLoop,
                clock,
                System::currentTimeMillis,
                () -> ThreadLocalRandom.current().nextDouble(),
                log,
                metrics));
        eras.addListener(reporting::onStoreRestored);
        return reporting;
    }

    private PromotionController newPromotionController(
            RecordStore store,
            PromotionLeases promotionLeases,
            PeerVoteExchange voteExchange,
            PromotionVoter promotionVoter,
            ConnectionProbe probe) {
        PromotionWorkflow workflow = new PromotionWorkflow(
                settings.entryVm(),
                store,
                ports.recordCodec(),
                directory,
                eras,
                promotionLeases,
                voteExchange,
                promotionVoter,
                probe,
                ports.authority(),
                eventLoop,
                clock,
                log);
        return new PromotionController(
                settings.entryVm(), databaseGroups, directory, workflow, promotionVoter, eventLoop, clock, log);
    }

    /**
     * Opens the listening ports and starts to read the record store.
     *
     * @throws IOException if a listening port cannot be opened
     */
    public void start() throws IOException {
        messenger.start();
        Map<String, Function<Map<String, List<String>>, HttpEndpoint.Response>> responses = Map.of(
                ports.paths().readiness(),
                parameters -> readiness(),
                ports.paths().metrics(),
                parameters -> new HttpEndpoint.Response(true, metrics.scrape()));
        listen(settings.readinessAddress(), httpServer(responses));
        RouteExplanation explanation = new RouteExplanation(
                directory,
                databaseGroups,
                clock,
                () -> ThreadLocalRandom.current().nextDouble());
        Map<String, Function<Map<String, List<String>>, HttpEndpoint.Response>> operatorResponses =
                new HashMap<>(responses);
        operatorResponses.put(EXPLAIN_PATH, explanation::respond);
        listen(settings.metricsAddress(), httpServer(operatorResponses));
        ListeningChannel port = listen(
                settings.clientAddress(),
                NettyBootstraps.clientServerBootstrap(
                        eventLoops,
                        initializer(this::acceptClient),
                        settings.clientLimits().receiveBufferBytes()));
        clientPort = port;
        eventLoop.execute(() -> {
            if (clientPortClosed) {
                // The stop was requested while the port was being opened.
                port.closeAfterAccepting();
            }
            log.line("start")
                    .with("failureDomain", settings.failureDomain())
                    .with("clients", hostAndPort(settings.clientAddress()))
                    .write();
            metrics.gauge("sessions", "state", "open", sessions::size);
            metrics.gauge("clients.bytes", "state", "held", clientConnections::totalBytes);
            storeMirror.start();
            registration.start();
        });
        var unused = eventLoop.scheduleWithFixedDelay(
                periodicChecks::perform, TICK_INTERVAL_MILLIS, TICK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        UsageReporting reporting = usageReporting;
        if (reporting != null) {
            PeriodicChecks usageChecks = new PeriodicChecks(List.of(reporting::tick), log);
            // The first delay spreads the messages of daemons that start together.
            long firstDelayMillis = ThreadLocalRandom.current().nextLong(UsageReporting.TICK_INTERVAL_MILLIS);
            var usageTicks = eventLoop.scheduleWithFixedDelay(
                    usageChecks::perform, firstDelayMillis, UsageReporting.TICK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Shuts down gracefully: withdraws readiness, closes idle sessions, waits for active ones and stops. The grace
     * period counts from the call, or from before a pause of the process that has just ended.
     *
     * @return a future that completes when the gateway has stopped, at the latest shortly before the grace period ends
     */
    public CompletableFuture<Void> drain() {
        CompletableFuture<Void> drained = new CompletableFuture<>();
        long requestedNanos = pauses.earliestSendNanos();
        eventLoop.execute(() -> {
            if (draining) {
                return;
            }
            draining = true;
            promotionController.stop();
            homeLeases.drain();
            if (usageReporting != null) {
                var dutyGivenUp = usageReporting.giveUpDuty();
            }
            ShutdownSchedule schedule = ShutdownSchedule.startingAt(requestedNanos, settings.shutdownGraceMillis());
            new GracefulShutdown(schedule, sessions, new StoppingDaemon(), eventLoop, clock, log)
                    .start()
                    .thenRun(() -> drained.complete(null));
        });
        return drained;
    }

    /** Logs that the settings file has been read again. */
    public void logSettingsReload(boolean changed) {
        eventLoop.execute(() -> log.line("reload").with("changed", changed).write());
    }

    private final class ReadStoreProgress implements PeerVoteExchange.StoreProgress {

        @Override
        public long nanosSinceContact() {
            return registration.nanosSinceContact();
        }

        @Override
        public StoreRevision readRevision() {
            return storeMirror.readRevision();
        }
    }

    private final class StoppingDaemon implements GracefulShutdown.Daemon {

        @Override
        public CompletableFuture<Void> closeClientPort() {
            clientPortClosed = true;
            ListeningChannel port = clientPort;
            return port == null ? CompletableFuture.completedFuture(null) : port.closeAfterAccepting();
        }

        @Override
        public boolean isServingFleet() {
            return promotionController.isReplacing() || homeLeases.isActive();
        }

        @Override
        public CompletableFuture<Void> leaveFleet() {
            homeLeases.conclude();
            storeMirror.stop();
            watchedStore.stop();
            CompletableFuture<Void> countsSent =
                    usageReporting == null ? CompletableFuture.completedFuture(null) : usageReporting.finish();
            return CompletableFuture.allOf(registration.stop(), countsSent)
                    .orTimeout(REGISTRATION_END_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private HttpEndpoint.Response readiness() {
        boolean ready = !draining
                && storeMirror.isComplete()
                && directory.configuration().version() > 0;
        return new HttpEndpoint.Response(ready, ready ? "ready" : draining ? "draining" : "configuration not read yet");
    }

    private ServerBootstrap httpServer(
            Map<String, Function<Map<String, List<String>>, HttpEndpoint.Response>> responses) {
        return NettyBootstraps.serverBootstrap(eventLoops, new HttpEndpoint(responses).initializer());
    }

    private void acceptClient(Channel channel) {
        if (!clientConnections.makeRoom(channel)) {
            channel.close();
            return;
        }
        ClientConnection connection = clientConnections.newConnection();
        ChannelHandler codec = ports.sessionCodec().newClientCodec(connection);
        connection.codec(codec);
        channel.pipeline().addLast(codec, new Session(sessionContext, sessions, connection));
    }

    private static ListeningChannel listen(InetSocketAddress address, ServerBootstrap bootstrap) throws IOException {
        var bindFuture = bootstrap.bind(address).awaitUninterruptibly();
        if (!bindFuture.isSuccess()) {
            throw new IOException(
                    "cannot listen on " + address + "; set a free port", requireNonNull(bindFuture.cause()));
        }
        return (ListeningChannel) bindFuture.channel();
    }

    private static ChannelHandler initializer(java.util.function.Consumer<Channel> configure) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                configure.accept(channel);
            }
        };
    }

    private static String hostAndPort(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
