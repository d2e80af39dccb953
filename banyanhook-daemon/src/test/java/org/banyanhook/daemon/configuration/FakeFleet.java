package org.banyanhook.daemon.configuration;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.banyanhook.core.key.KeyPolicy;
import org.banyanhook.daemon.membership.EntryVm;
import org.banyanhook.daemon.peer.PeerException;
import org.banyanhook.daemon.peer.PeerMessageHandler;
import org.banyanhook.daemon.peer.PeerMessenger;
import org.banyanhook.protocol.generated.PeerEnvelope;

/**
 * Configuration controllers that exchange heartbeats and requests in memory; a failure domain can be isolated from the
 * platform and from the other domains.
 */
public final class FakeFleet implements AutoCloseable {

    private static final long HEARTBEAT_INTERVAL_MILLIS = 20;

    private final FakePlatform platform;
    private final KeyPolicy keyPolicy;
    private final Random random;
    private final List<EntryVm> liveEntryVms = new CopyOnWriteArrayList<>();
    private final Map<String, ConfigurationController> controllers = new ConcurrentHashMap<>();
    private final Map<String, Messenger> messengers = new ConcurrentHashMap<>();
    private final List<String> isolatedDomains = new CopyOnWriteArrayList<>();
    private final ScheduledExecutorService heartbeatExecutor = Executors.newSingleThreadScheduledExecutor();
    private volatile boolean heartbeatsEnabled = true;

    public FakeFleet(FakePlatform platform, KeyPolicy keyPolicy, long seed) {
        this.platform = platform;
        this.keyPolicy = keyPolicy;
        this.random = new Random(seed);
        heartbeatExecutor.scheduleAtFixedRate(
                this::sendHeartbeat, HEARTBEAT_INTERVAL_MILLIS, HEARTBEAT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    public ConfigurationController start(String name, String failureDomain) {
        EntryVm self = new EntryVm(name, failureDomain, "127.0.0.1:" + (1000 + name.hashCode() % 50_000), false);
        Messenger messenger = new Messenger(self);
        liveEntryVms.removeIf(entryVm -> entryVm.name().equals(name));
        liveEntryVms.add(self);
        messengers.put(self.peerAddress(), messenger);
        ConfigurationController controller = ConfigurationController.builder(self)
                .platform(platform.clientFor(failureDomain))
                .messenger(messenger)
                .membership(() -> liveEntryVms)
                .keyPolicy(keyPolicy)
                .build();
        controllers.put(name, controller);
        controller.start();
        return controller;
    }

    /** Closes a controller that remains in the list of live entry VMs. */
    public void crash(String name) {
        requireNonNull(controllers.remove(name)).close();
    }

    /** Closes a controller and removes its entry VM from the list of live entry VMs. */
    public void stop(String name) {
        crash(name);
        liveEntryVms.removeIf(entryVm -> entryVm.name().equals(name));
    }

    public ConfigurationController controller(String name) {
        return requireNonNull(controllers.get(name));
    }

    public List<ConfigurationController> allControllers() {
        return new ArrayList<>(controllers.values());
    }

    public void setIsolated(String failureDomain, boolean isolated) {
        platform.setIsolated(failureDomain, isolated);
        if (isolated) {
            isolatedDomains.add(failureDomain);
        } else {
            isolatedDomains.remove(failureDomain);
        }
    }

    public void setHeartbeatsEnabled(boolean enabled) {
        heartbeatsEnabled = enabled;
    }

    @Override
    public void close() {
        heartbeatExecutor.shutdownNow();
        controllers.values().forEach(ConfigurationController::close);
    }

    private void sendHeartbeat() {
        List<EntryVm> entryVms = List.copyOf(liveEntryVms);
        if (!heartbeatsEnabled || entryVms.size() < 2) {
            return;
        }
        EntryVm from = entryVms.get(random.nextInt(entryVms.size()));
        EntryVm to = entryVms.get(random.nextInt(entryVms.size()));
        ConfigurationController sender = controllers.get(from.name());
        ConfigurationController receiver = controllers.get(to.name());
        if (!from.equals(to) && areConnected(from, to) && sender != null && receiver != null) {
            receiver.onPeerVersion(from.peerAddress(), sender.current().version(), sender.withdrawalDigest());
        }
    }

    private boolean areConnected(EntryVm from, EntryVm to) {
        boolean sameDomain = from.failureDomain().equals(to.failureDomain());
        boolean separated =
                isolatedDomains.contains(from.failureDomain()) || isolatedDomains.contains(to.failureDomain());
        return sameDomain || !separated;
    }

    private final class Messenger implements PeerMessenger {
        private final EntryVm self;
        private final Map<PeerEnvelope.BodyCase, PeerMessageHandler> handlers = new ConcurrentHashMap<>();

        Messenger(EntryVm self) {
            this.self = self;
        }

        @Override
        public CompletableFuture<PeerEnvelope> request(String peerAddress, PeerEnvelope body, Duration timeout) {
            Messenger target = messengers.get(peerAddress);
            if (target == null || !controllers.containsKey(target.self.name()) || !areConnected(self, target.self)) {
                return CompletableFuture.failedFuture(new PeerException("peer unreachable", false));
            }
            PeerEnvelope message = body.toBuilder()
                    .setSenderEntryVm(self.name())
                    .setSenderFailureDomain(self.failureDomain())
                    .build();
            return CompletableFuture.supplyAsync(() -> requireNonNull(target.handlers.get(body.getBodyCase())))
                    .thenCompose(handler -> handler.handle(message))
                    .orTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
        }

        @Override
        public void send(String peerAddress, PeerEnvelope body) {
            throw new UnsupportedOperationException("configuration controllers send requests only");
        }

        @Override
        public void registerHandler(PeerEnvelope.BodyCase kind, PeerMessageHandler handler) {
            handlers.put(kind, handler);
        }
    }
}
