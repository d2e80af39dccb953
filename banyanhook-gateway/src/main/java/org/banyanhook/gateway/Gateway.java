package org.banyanhook.gateway;

import static java.util.Objects.requireNonNull;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpServerCodec;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.banyanhook.daemon.peer.NettyPeerMessenger;
import org.banyanhook.gateway.backend.ConnectionProbe;
import org.banyanhook.gateway.backend.DatabaseGroups;
import org.banyanhook.gateway.backend.GroupContext;
import org.banyanhook.gateway.fleet.DaemonRegistration;
import org.banyanhook.gateway.fleet.FleetDirectory;
import org.banyanhook.gateway.fleet.StoreMirror;
import org.banyanhook.gateway.operation.Connections;
import org.banyanhook.gateway.operation.DecisionLog;
import org.banyanhook.gateway.operation.GatewayMetrics;
import org.banyanhook.gateway.operation.HttpEndpoint;
import org.banyanhook.gateway.operation.SteadyClock;
import org.banyanhook.gateway.port.DaemonEntry;
import org.banyanhook.gateway.port.FleetRecordCodec;
import org.banyanhook.gateway.port.HttpPaths;
import org.banyanhook.gateway.port.PromotionAuthority;
import org.banyanhook.gateway.port.RecordStore;
import org.banyanhook.gateway.port.SessionCodec;
import org.banyanhook.gateway.primary.PeerVoteExchange;
import org.banyanhook.gateway.primary.PromotionController;
import org.banyanhook.gateway.primary.PromotionLease;
import org.banyanhook.gateway.primary.PromotionVoter;
import org.banyanhook.gateway.primary.PromotionWorkflow;
import org.banyanhook.gateway.primary.StoreOrQuorumPolicy;
import org.banyanhook.gateway.rate.AccountRateLimiter;
import org.banyanhook.gateway.rate.PeerTokenTransfers;
import org.banyanhook.gateway.session.Session;
import org.banyanhook.gateway.session.SessionContext;
import org.banyanhook.gateway.session.SessionRegistry;

/** Assembles the parts of one gateway and runs them on one event loop. */
public final class Gateway {

    /** How often waiting work, idle transactions and primaries are looked at. */
    private static final long TICK_MILLIS = 200;

    /** Readiness is withdrawn this long before sessions are ended, so that the balancer has asked twice. */
    private static final long UNREADY_MILLIS = 2_200;

    /** What is left of the grace period for the process to end. */
    private static final long END_MARGIN_MILLIS = 700;

    private static final long DRAIN_POLL_MILLIS = 50;

    private final GatewaySettings settings;
    private final Ports ports;
    private final EventLoopGroup eventLoops;
    private final EventLoop eventLoop;
    private final DecisionLog log;
    private final GatewayMetrics metrics = new GatewayMetrics();
    private final FleetDirectory directory;
    private final StoreMirror mirror;
    private final DaemonRegistration registration;
    private final NettyPeerMessenger messenger;
    private final DatabaseGroups groups;
    private final AccountRateLimiter rates;
    private final StoreOrQuorumPolicy contact;
    private final PromotionController promotions;
    private final SessionRegistry sessions = new SessionRegistry();
    private final SessionContext sessionContext;
    private boolean draining;

    /**
     * What the gateway needs from its surroundings.
     *
     * @param store the store of records
     * @param authority carries promotions out
     * @param codec translates the messages of connections
     * @param records names and decodes the records
     * @param paths the paths of the HTTP interface
     */
    public record Ports(
            RecordStore store,
            PromotionAuthority authority,
            SessionCodec codec,
            FleetRecordCodec records,
            HttpPaths paths) {}

    /**
     * Assembles a gateway, which is not started.
     *
     * @param settings its settings
     * @param ports its surroundings
     * @param eventLoops one event loop, on which everything runs
     * @param output where the log goes
     */
    public Gateway(GatewaySettings settings, Ports ports, EventLoopGroup eventLoops, OutputStream output) {
        this.settings = requireNonNull(settings, "settings");
        this.ports = requireNonNull(ports, "ports");
        this.eventLoops = requireNonNull(eventLoops, "eventLoops");
        this.eventLoop = eventLoops.next();
        SteadyClock clock = SteadyClock.ofMachine();
        this.log = new DecisionLog(settings.entryVm(), output, clock::nowNanos);
        this.directory = new FleetDirectory(ports.records(), log, clock);
        this.mirror = new StoreMirror(ports.store(), ports.records().keyPrefix(), directory, eventLoop, log, metrics);
        this.messenger = NettyPeerMessenger.builder(settings.entryVm(), settings.failureDomain())
                .listenAddress(settings.peerAddress())
                .eventLoops(eventLoops)
                .build();
        DaemonEntry self =
                new DaemonEntry(settings.entryVm(), settings.failureDomain(), hostAndPort(settings.peerAddress()));
        this.registration = new DaemonRegistration(
                ports.store(),
                ports.records().daemonKey(settings.entryVm()),
                ports.records().encode(self),
                mirror::reloadAll,
                eventLoop,
                clock,
                log,
                metrics);
        PeerVoteExchange peers = new PeerVoteExchange(settings.entryVm(), messenger, directory, eventLoop);
        this.contact = new StoreOrQuorumPolicy(registration::nanosSinceContact, peers, clock, eventLoop, log);
        GroupContext groupContext =
                new GroupContext(settings, directory, eventLoops, contact, ports.codec(), clock, log, metrics);
        this.groups = new DatabaseGroups(groupContext);
        directory.addListener(groups);
        PeerTokenTransfers tokens = new PeerTokenTransfers(messenger, directory, eventLoop);
        this.rates = new AccountRateLimiter(
                settings.entryVm(), settings.failureDomain(), directory, tokens, clock, log, metrics);
        tokens.serve(rates);
        ConnectionProbe probe = new ConnectionProbe(groupContext);
        PromotionVoter witness =
                new PromotionVoter(groups, directory, probe, registration::lastContactNanos, mirror::isComplete, clock);
        peers.serve(witness);
        contact.groupsWithUnresolvedVotes(witness::groupsWithUnresolvedVotes);
        this.promotions = newPromotions(peers, witness, probe, clock);
        this.sessionContext =
                new SessionContext(settings, directory, groups, rates, contact, eventLoop, clock, log, metrics);
    }

    private PromotionController newPromotions(
            PeerVoteExchange peers, PromotionVoter witness, ConnectionProbe probe, SteadyClock clock) {
        PromotionLease duty =
                new PromotionLease(ports.store(), ports.records().promotionLeaseKey(), settings.entryVm(), clock, log);
        PromotionWorkflow steps = new PromotionWorkflow(
                settings.entryVm(),
                ports.store(),
                ports.records(),
                directory,
                duty,
                peers,
                witness,
                probe,
                ports.authority(),
                eventLoop,
                clock,
                log);
        return new PromotionController(settings.entryVm(), groups, directory, steps, witness, eventLoop, clock, log);
    }

    /**
     * Opens the ports and starts to read the store.
     *
     * @throws IOException if a port cannot be opened
     */
    public void start() throws IOException {
        messenger.start();
        Map<String, Supplier<HttpEndpoint.Answer>> answers = Map.of(
                ports.paths().readiness(),
                this::readiness,
                ports.paths().metrics(),
                () -> new HttpEndpoint.Answer(true, metrics.scrape()));
        HttpEndpoint endpoint = new HttpEndpoint(answers);
        ChannelHandler http = initializer(channel -> channel.pipeline().addLast(new HttpServerCodec(), endpoint));
        listen(settings.readinessAddress(), http);
        listen(settings.metricsAddress(), http);
        listen(
                settings.clientAddress(),
                initializer(channel -> channel.pipeline()
                        .addLast(ports.codec().newClientCodec(), new Session(sessionContext, sessions))));
        eventLoop.execute(() -> {
            log.line("start")
                    .with("failureDomain", settings.failureDomain())
                    .with("clients", hostAndPort(settings.clientAddress()))
                    .write();
            metrics.gauge("sessions", "state", "open", sessions::size);
            mirror.start();
            registration.start();
        });
        var unused = eventLoop.scheduleWithFixedDelay(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Ends gracefully: takes no new sessions, lets what is under way finish, then stops.
     *
     * @return completed when everything is over or the grace period is about to end
     */
    public CompletableFuture<Void> drain() {
        CompletableFuture<Void> over = new CompletableFuture<>();
        eventLoop.execute(() -> {
            if (draining) {
                return;
            }
            draining = true;
            log.line("stop").with("sessions", sessions.size()).write();
            long started = System.nanoTime();
            long limitMillis = Math.max(0, settings.shutdownMillis() - END_MARGIN_MILLIS);
            long unreadyMillis = Math.min(UNREADY_MILLIS, limitMillis / 2);
            var unused = eventLoop.schedule(
                    () -> {
                        sessions.drain();
                        awaitIdle(started + TimeUnit.MILLISECONDS.toNanos(limitMillis), over);
                    },
                    unreadyMillis,
                    TimeUnit.MILLISECONDS);
        });
        return over;
    }

    /** Notes in the log that the settings file was read again. */
    public void settingsReloaded(boolean changed) {
        eventLoop.execute(() -> log.line("reload").with("changed", changed).write());
    }

    private void awaitIdle(long untilNanos, CompletableFuture<Void> over) {
        if (sessions.isActive() && System.nanoTime() - untilNanos < 0) {
            var unused =
                    eventLoop.schedule(() -> awaitIdle(untilNanos, over), DRAIN_POLL_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        mirror.stop();
        registration
                .stop()
                .orTimeout(END_MARGIN_MILLIS / 2, TimeUnit.MILLISECONDS)
                .whenComplete((done, failure) -> {
                    log.line("stopped")
                            .with("reason", failure == null ? "drained" : "store did not answer")
                            .write();
                    log.close();
                    over.complete(null);
                });
    }

    private HttpEndpoint.Answer readiness() {
        boolean ready =
                !draining && mirror.isComplete() && directory.configuration().version() > 0;
        return new HttpEndpoint.Answer(ready, ready ? "ready" : draining ? "draining" : "no configuration yet");
    }

    private void tick() {
        try {
            directory.tick();
            groups.tick();
            rates.tick();
            contact.tick();
            promotions.tick();
            sessions.tick(sessionContext);
            log.flush();
        } catch (RuntimeException exception) {
            // A scheduled task that throws is never run again.
            log.line("fault").with("reason", exception.toString()).write();
        }
    }

    private void listen(InetSocketAddress address, ChannelHandler initializer) throws IOException {
        var binding =
                Connections.listening(eventLoops, initializer).bind(address).awaitUninterruptibly();
        if (!binding.isSuccess()) {
            throw new IOException("cannot listen on " + address + "; set a free port", requireNonNull(binding.cause()));
        }
    }

    private static ChannelHandler initializer(java.util.function.Consumer<Channel> setUp) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                setUp.accept(channel);
            }
        };
    }

    private static String hostAndPort(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
