package org.banyanhook.daemon.configuration;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.banyanhook.core.configuration.ConfigurationState;
import org.banyanhook.core.configuration.DocumentDecision;
import org.banyanhook.core.configuration.FailureDomain;
import org.banyanhook.core.configuration.FleetConfiguration;
import org.banyanhook.core.configuration.PeerVersions;
import org.banyanhook.core.configuration.WatcherSelection;
import org.banyanhook.daemon.duty.TaskLoop;
import org.banyanhook.daemon.membership.EntryVm;
import org.banyanhook.daemon.membership.MembershipSource;
import org.banyanhook.daemon.membership.PeerVersionListener;
import org.banyanhook.daemon.peer.PeerMessenger;
import org.banyanhook.daemon.platform.StoredValue;
import org.banyanhook.protocol.generated.Acknowledgement;
import org.banyanhook.protocol.generated.ConfigurationReply;
import org.banyanhook.protocol.generated.ConfigurationRequest;
import org.banyanhook.protocol.generated.KeyWithdrawal;
import org.banyanhook.protocol.generated.PeerEnvelope;
import org.jspecify.annotations.Nullable;

/**
 * Holds the effective configuration of this entry VM: receives documents and key withdrawals from the platform and from
 * peers, never reverts to an older version, and disseminates updates to peers. Safe for use by several threads.
 */
public final class ConfigurationController implements ConfigurationSource, PeerVersionListener, AutoCloseable {

    private static final Logger LOGGER = LogManager.getLogger(ConfigurationController.class);
    private static final Duration TICK_INTERVAL = Duration.ofMillis(100);
    private static final Duration PEER_REQUEST_INTERVAL = Duration.ofMillis(300);
    private static final long UNKNOWN_DIGEST = -1;

    /** Time without contact after which this entry VM sends requests to peers in other failure domains. */
    private static final long PEER_REQUEST_AFTER_MILLIS = 1_000;

    /** Time without contact after which this entry VM reads the platform, also if it is not a watcher. */
    private static final long PLATFORM_READ_AFTER_MILLIS = 2_000;

    private final EntryVm self;
    private final MembershipSource membership;
    private final PeerMessenger messenger;
    private final ImmutableList<String> seeds;
    private final ConfigurationCodec codec = new ConfigurationCodec();
    private final ConfigurationState state = new ConfigurationState();
    private final PeerVersions peerVersions = new PeerVersions();
    private final List<Consumer<FleetConfiguration>> listeners = new CopyOnWriteArrayList<>();
    private final TaskLoop taskLoop;
    private final PlatformWatch platformWatch;
    private final ConfigurationFetcher fetcher;
    private final UpdateDisseminator disseminator;
    private final WithdrawalWriter withdrawalWriter;
    private final ConfigurationChanger changer;
    private final PropagationCheck propagationCheck;
    private final UnresponsiveEntryVms unresponsiveEntryVms = new UnresponsiveEntryVms();
    private final ContactTracker contactTracker = new ContactTracker();
    private final KeyAuthenticator keyAuthenticator;
    private FleetView fleet;
    private long lastPeerRequestNanos;
    private volatile FleetConfiguration current = FleetConfiguration.EMPTY;
    private volatile @Nullable ConfigurationDocument document;
    private volatile long withdrawalDigest;
    private volatile boolean started;

    ConfigurationController(ConfigurationControllerBuilder builder) {
        this.self = builder.self();
        this.membership = builder.membership();
        this.messenger = builder.messenger();
        this.seeds = builder.seeds();
        this.fleet = new FleetView(self, membership.liveEntryVms());
        this.lastPeerRequestNanos = System.nanoTime() - PEER_REQUEST_INTERVAL.toNanos();
        this.taskLoop = TaskLoop.builder("configuration")
                .tick(TICK_INTERVAL, this::tick)
                .start();
        this.platformWatch =
                new PlatformWatch(builder.platform(), taskLoop, this::onStoredValue, contactTracker::recordContact);
        this.changer = new ConfigurationChanger(builder.platform(), this);
        this.withdrawalWriter = new WithdrawalWriter(changer);
        this.propagationCheck = new PropagationCheck(messenger, this);
        this.keyAuthenticator = new KeyAuthenticator(self.failureDomain(), builder.keyPolicy(), contactTracker);
        this.fetcher = new ConfigurationFetcher(messenger, taskLoop, state::version, this::recordReply);
        this.disseminator = new UpdateDisseminator(messenger, taskLoop, () -> fleet, self.name(), self.failureDomain());
        builder.meterRegistry()
                .gauge("banyanhook.configuration.version", this, controller -> controller.current.version());
    }

    /**
     * Creates a builder of a controller.
     *
     * @param self this entry VM
     * @return a new builder
     */
    public static ConfigurationControllerBuilder builder(EntryVm self) {
        return new ConfigurationControllerBuilder(self);
    }

    /** Registers the message handlers and starts to look for the configuration. */
    public void start() {
        messenger.registerHandler(PeerEnvelope.BodyCase.CONFIGURATION_REQUEST, this::handleRequest);
        messenger.registerHandler(PeerEnvelope.BodyCase.KEY_WITHDRAWAL, this::handleWithdrawal);
        started = true;
    }

    @Override
    public FleetConfiguration current() {
        return current;
    }

    /** Returns the newest document with all its fields, or empty before the first. */
    public Optional<ConfigurationDocument> document() {
        return Optional.ofNullable(document);
    }

    /** Returns a digest of the withdrawals in effect here; heartbeats carry it. */
    public long withdrawalDigest() {
        return withdrawalDigest;
    }

    /** Returns the authenticator that finds the client account of a key. */
    public KeyAuthenticator keyAuthenticator() {
        return keyAuthenticator;
    }

    /** Returns the changer that applies changes to the configuration. */
    public ConfigurationChanger changer() {
        return changer;
    }

    /**
     * Checks on which entry VMs the newest version and all withdrawals are in effect.
     *
     * @param timeout how long to send requests to entry VMs that have not confirmed
     * @return the state known when all have confirmed or the timeout has passed
     */
    public CompletableFuture<PropagationReport> checkPropagation(Duration timeout) {
        return propagationCheck.run(System.nanoTime() + timeout.toNanos());
    }

    /** Returns the entry VMs that became unresponsive without leaving, less than an hour ago. */
    public CompletableFuture<List<EntryVm>> unresponsiveEntryVms() {
        return taskLoop.call(unresponsiveEntryVms::list);
    }

    /**
     * Adds a listener that receives the effective configuration after every change of it.
     *
     * @param listener called on the thread of this controller; must not block
     */
    public void addListener(Consumer<FleetConfiguration> listener) {
        listeners.add(requireNonNull(listener, "listener"));
    }

    /**
     * Adopts a document if its version is the highest received, and disseminates it.
     *
     * @param accepted a document that the platform accepted
     * @return the decision, completed once it is applied on this entry VM
     */
    public CompletableFuture<DocumentDecision> adopt(ConfigurationDocument accepted) {
        return taskLoop.call(() -> recordDocument(accepted, "this entry VM", true));
    }

    /**
     * Applies key withdrawals and disseminates them.
     *
     * @param hashes the hashes of the keys
     * @return completed once they are in effect on this entry VM
     */
    public CompletableFuture<Void> withdraw(Set<String> hashes) {
        return taskLoop.call(() -> {
            recordWithdrawals(ImmutableSet.copyOf(hashes), "an operator", true);
            return null;
        });
    }

    @Override
    public void onPeerVersion(String peerAddress, long configurationVersion, long peerWithdrawalDigest) {
        taskLoop.submit(() -> {
            fleet.nameAt(peerAddress)
                    .ifPresent(name -> peerVersions.recordVersion(name, configurationVersion, peerWithdrawalDigest));
            if (configurationVersion == state.version() && peerWithdrawalDigest == state.withdrawalDigest()) {
                recordContactWith(peerAddress);
            } else if (configurationVersion >= state.version()) {
                fetcher.fetchFrom(peerAddress);
            }
        });
    }

    @Override
    public void close() {
        taskLoop.close();
    }

    /** Returns the addresses of live entry VMs that have not confirmed the version and withdrawals in effect here. */
    CompletableFuture<List<String>> unconfirmedPeerAddresses() {
        return taskLoop.call(() -> unconfirmedPeerNames().stream()
                .flatMap(name -> fleet.addressOf(name).stream())
                .toList());
    }

    /** Returns the propagation as known here, without sending requests. */
    CompletableFuture<PropagationReport> currentPropagation() {
        return taskLoop.call(this::newPropagationReport);
    }

    /** Records the reply of a peer. */
    CompletableFuture<Void> onReply(String address, ConfigurationReply reply) {
        return taskLoop.call(() -> {
            recordReply(address, reply);
            return null;
        });
    }

    private PropagationReport newPropagationReport() {
        List<String> unconfirmedPeers = unconfirmedPeerNames();
        ImmutableList.Builder<String> allUnconfirmed = ImmutableList.builder();
        allUnconfirmed.addAll(unconfirmedPeers);
        unresponsiveEntryVms.list().forEach(entryVm -> allUnconfirmed.add(entryVm.name()));
        List<String> unconfirmedDomains = state.effective().failureDomains().stream()
                .map(FailureDomain::name)
                .filter(domain -> unconfirmedPeers.containsAll(fleet.namesIn(domain)))
                .toList();
        return new PropagationReport(state.version(), allUnconfirmed.build(), unconfirmedDomains);
    }

    private List<String> unconfirmedPeerNames() {
        List<String> others = fleet.otherNames();
        Set<String> unconfirmed = new TreeSet<>(peerVersions.findBelowVersion(others, state.version()));
        unconfirmed.addAll(peerVersions.findWithOtherWithdrawals(others, state.withdrawalDigest()));
        return ImmutableList.copyOf(unconfirmed);
    }

    private void tick() {
        if (!started) {
            return;
        }
        long now = System.nanoTime();
        List<EntryVm> liveEntryVms = membership.liveEntryVms();
        fleet = new FleetView(self, liveEntryVms);
        unresponsiveEntryVms.update(liveEntryVms, now);
        peerVersions.retainOnly(fleet.otherNames());
        if (WatcherSelection.select(fleet.namesInOwnDomain()).contains(self.name())) {
            platformWatch.watchIfDue(now);
            if (platformWatch.isAnswering()) {
                withdrawalWriter.writeIfDue(state.unwrittenWithdrawals(), state.effective(), now);
            }
        }
        if (state.version() == 0) {
            platformWatch.readIfDue(now);
            requestFromPeerIfDue(now, seedAndPeerAddresses());
        }
        restoreContact(now);
    }

    private void restoreContact(long nowNanos) {
        long millisSinceContact = contactTracker.millisSinceContact();
        if (millisSinceContact > PEER_REQUEST_AFTER_MILLIS) {
            requestFromPeerIfDue(nowNanos, addressesInOtherDomains());
        }
        if (millisSinceContact > PLATFORM_READ_AFTER_MILLIS) {
            platformWatch.readIfDue(nowNanos);
        }
    }

    private void recordContactWith(String address) {
        fleet.nameAt(address)
                .flatMap(fleet::failureDomainOf)
                .filter(domain -> !domain.equals(self.failureDomain()))
                .ifPresent(domain -> contactTracker.recordContact());
    }

    private void requestFromPeerIfDue(long nowNanos, List<String> addresses) {
        if (nowNanos - lastPeerRequestNanos < PEER_REQUEST_INTERVAL.toNanos() || addresses.isEmpty()) {
            return;
        }
        lastPeerRequestNanos = nowNanos;
        fetcher.fetchFrom(addresses.get(ThreadLocalRandom.current().nextInt(addresses.size())));
    }

    private List<String> addressesInOtherDomains() {
        return fleet.failureDomains().stream()
                .filter(domain -> !domain.equals(self.failureDomain()))
                .flatMap(domain -> fleet.namesIn(domain).stream())
                .flatMap(name -> fleet.addressOf(name).stream())
                .toList();
    }

    private List<String> seedAndPeerAddresses() {
        ImmutableSet.Builder<String> addresses = ImmutableSet.builder();
        addresses.addAll(seeds);
        fleet.otherNames().forEach(name -> fleet.addressOf(name).ifPresent(addresses::add));
        return addresses.build().stream()
                .filter(address -> !address.equals(self.peerAddress()))
                .toList();
    }

    private void onStoredValue(StoredValue value) {
        recordText(value.value(), "the platform", true);
    }

    private void recordReply(String address, ConfigurationReply reply) {
        if (!reply.getDocumentJson().isEmpty()) {
            recordText(reply.getDocumentJson(), address, false);
        }
        Set<String> unwritten = ImmutableSet.copyOf(reply.getWithdrawnKeyHashesList());
        recordWithdrawals(unwritten, address, false);
        boolean inSameState = reply.getVersion() == state.version() && unwritten.equals(state.unwrittenWithdrawals());
        long digest = inSameState ? state.withdrawalDigest() : UNKNOWN_DIGEST;
        fleet.nameAt(address).ifPresent(name -> peerVersions.recordVersion(name, reply.getVersion(), digest));
        recordContactWith(address);
    }

    private void recordText(String text, String source, boolean isOrigin) {
        try {
            recordDocument(codec.decode(text), source, isOrigin);
        } catch (ConfigurationFormatException exception) {
            LOGGER.error("configuration document from {} rejected: {}", source, exception.getMessage());
        }
    }

    private DocumentDecision recordDocument(ConfigurationDocument received, String source, boolean isOrigin) {
        DocumentDecision decision = state.recordDocument(received.configuration());
        if (decision == DocumentDecision.ADOPTED) {
            document = received;
        }
        if (decision.changesEffectiveConfiguration()) {
            LOGGER.info(
                    "configuration version {} from {}: {}, {}",
                    received.version(),
                    source,
                    decision,
                    decision.reason());
            publishEffective();
            disseminator.disseminate(state.version(), newVersionAnnouncement(), isOrigin);
        } else if (decision == DocumentDecision.DIFFERENT_CONTENT) {
            LOGGER.warn("configuration version {} from {}: {}", received.version(), source, decision.reason());
        }
        return decision;
    }

    private void recordWithdrawals(Set<String> hashes, String source, boolean isOrigin) {
        if (!state.recordWithdrawals(hashes)) {
            return;
        }
        LOGGER.info("{} withdrawn keys from {}: now in effect, disseminating them to peers", hashes.size(), source);
        publishEffective();
        PeerEnvelope message = PeerEnvelope.newBuilder()
                .setKeyWithdrawal(KeyWithdrawal.newBuilder().addAllKeyHashes(hashes))
                .build();
        disseminator.disseminate(state.withdrawalDigest(), message, isOrigin);
    }

    private void publishEffective() {
        FleetConfiguration effective = state.effective();
        withdrawalDigest = state.withdrawalDigest();
        keyAuthenticator.update(effective);
        current = effective;
        listeners.forEach(listener -> listener.accept(effective));
    }

    private PeerEnvelope newVersionAnnouncement() {
        return PeerEnvelope.newBuilder()
                .setConfigurationRequest(ConfigurationRequest.newBuilder().setKnownVersion(state.version()))
                .build();
    }

    private CompletableFuture<PeerEnvelope> handleRequest(PeerEnvelope message) {
        return taskLoop.call(() -> answerRequest(message));
    }

    private PeerEnvelope answerRequest(PeerEnvelope message) {
        long knownVersion = message.getConfigurationRequest().getKnownVersion();
        String sender = message.getSenderEntryVm();
        if (knownVersion > state.version()) {
            fleet.addressOf(sender).ifPresent(fetcher::fetchFrom);
        }
        ConfigurationReply.Builder reply = ConfigurationReply.newBuilder().setVersion(state.version());
        ConfigurationDocument newest = document;
        if (newest != null && newest.version() > knownVersion) {
            reply.setDocumentJson(newest.text());
        }
        reply.addAllWithdrawnKeyHashes(state.unwrittenWithdrawals());
        return PeerEnvelope.newBuilder().setConfigurationReply(reply).build();
    }

    private CompletableFuture<PeerEnvelope> handleWithdrawal(PeerEnvelope message) {
        return taskLoop.call(() -> {
            Set<String> hashes = ImmutableSet.copyOf(message.getKeyWithdrawal().getKeyHashesList());
            recordWithdrawals(hashes, message.getSenderEntryVm(), false);
            return PeerEnvelope.newBuilder()
                    .setAcknowledgement(Acknowledgement.getDefaultInstance())
                    .build();
        });
    }
}
