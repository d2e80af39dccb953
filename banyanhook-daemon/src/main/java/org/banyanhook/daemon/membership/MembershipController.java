package org.banyanhook.daemon.membership;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;
import org.banyanhook.core.membership.Member;
import org.banyanhook.core.membership.MemberChange;
import org.banyanhook.core.membership.MemberState;
import org.banyanhook.core.membership.MembershipState;
import org.banyanhook.core.membership.MembershipTimings;
import org.banyanhook.daemon.duty.TaskLoop;
import org.banyanhook.daemon.peer.PeerMessenger;
import org.banyanhook.daemon.platform.PlatformClient;
import org.banyanhook.daemon.platform.VirtualMachine;
import org.banyanhook.protocol.generated.Acknowledgement;
import org.banyanhook.protocol.generated.Heartbeat;
import org.banyanhook.protocol.generated.HeartbeatAcknowledgement;
import org.banyanhook.protocol.generated.IndirectProbe;
import org.banyanhook.protocol.generated.PeerEnvelope;
import org.jspecify.annotations.Nullable;

/**
 * Maintains this entry VM's view of the fleet: probes peers, answers their probes, and publishes an immutable snapshot.
 *
 * <p>The state is confined to the thread of one task loop. {@link #liveEntryVms} is thread-safe and never blocks.
 */
public final class MembershipController implements MembershipSource, AutoCloseable {

    private static final Logger LOGGER = LogManager.getLogger(MembershipController.class);
    private static final int UPDATES_PER_MESSAGE = 8;
    private static final int INDIRECT_PROBER_COUNT = 3;
    private static final int TICKS_BETWEEN_RECONNECTIONS = 5;
    private static final int TICKS_BETWEEN_PLATFORM_READS = 60;

    private final MembershipState state;
    private final PeerMessenger messenger;
    private final @Nullable PlatformClient platform;
    private final Duration probeInterval;
    private final Duration probeTimeout;
    private final List<String> seeds;
    private final LongSupplier configurationVersion;
    private final LongSupplier withdrawalCount;
    private final PeerVersionListener versionListener;
    private final SplittableRandom random;
    private final Counter sentBytes;
    private final Counter membershipChanges;
    private Set<String> platformAddresses = ImmutableSet.of();
    private long ticks;
    private volatile List<EntryVm> snapshot;
    private volatile Set<String> recordedNames;
    private @Nullable TaskLoop taskLoop;

    private MembershipController(Builder builder) {
        this.state = new MembershipState(builder.self, builder.timings, UPDATES_PER_MESSAGE);
        this.messenger = builder.messenger;
        this.platform = builder.platform;
        this.probeInterval = builder.probeInterval;
        this.probeTimeout = builder.probeTimeout;
        this.seeds = builder.seeds;
        this.configurationVersion = builder.configurationVersion;
        this.withdrawalCount = builder.withdrawalCount;
        this.versionListener = builder.versionListener;
        this.random = new SplittableRandom(builder.self.name().hashCode() ^ builder.self.incarnation());
        this.sentBytes = builder.meterRegistry.counter("banyanhook.membership.sent.bytes");
        this.membershipChanges = builder.meterRegistry.counter("banyanhook.membership.changes");
        this.snapshot = snapshotOf(state);
        this.recordedNames = recordedNamesOf(state);
        builder.meterRegistry.gauge("banyanhook.membership.live", this, self -> self.snapshot.size());
    }

    /**
     * Creates a builder.
     *
     * @param self this entry VM, alive, with its start time in milliseconds as incarnation
     * @param messenger the messenger for requests between peers
     * @return a new builder
     */
    public static Builder builder(Member self, PeerMessenger messenger) {
        return new Builder(self, messenger);
    }

    /** Registers the message handlers and starts probing. Call once, before the messenger starts listening. */
    public void start() {
        TaskLoop started =
                TaskLoop.builder("membership").tick(probeInterval, this::onTick).start();
        taskLoop = started;
        messenger.registerHandler(
                PeerEnvelope.BodyCase.HEARTBEAT, message -> started.call(() -> answerHeartbeat(message)));
        messenger.registerHandler(PeerEnvelope.BodyCase.INDIRECT_PROBE, this::answerIndirectProbe);
    }

    @Override
    public List<EntryVm> liveEntryVms() {
        return snapshot;
    }

    @Override
    public boolean hasRecord(String entryVm) {
        return recordedNames.contains(entryVm);
    }

    /** Announces the shutdown of this entry VM to peers. The controller continues to answer them until it is closed. */
    public void announceShutdown() {
        submit(() -> {
            state.leave();
            updateSnapshot();
            probeAll(state.running());
        });
    }

    @Override
    public void close() {
        TaskLoop started = taskLoop;
        if (started != null) {
            started.close();
        }
    }

    private void submit(Runnable task) {
        TaskLoop started = taskLoop;
        if (started != null && !started.submit(task)) {
            LOGGER.warn("the task queue of the membership controller is full; dropped a task");
        }
    }

    private void onTick() {
        ticks++;
        logAndPublish(state.onTick(nowMillis()));
        if (ticks % TICKS_BETWEEN_PLATFORM_READS == 1) {
            readPlatformAddresses();
        }
        boolean isOnlyMember = state.running().size() == 1;
        if (isOnlyMember || ticks % TICKS_BETWEEN_RECONNECTIONS == 0) {
            probeDiscoveryAddress();
            state.chooseReconnection(random.nextLong())
                    .ifPresent(member -> sendHeartbeat(member.name(), member.peerAddress()));
        }
        state.chooseProbe(random.nextLong()).ifPresent(this::probe);
    }

    /** Probes a random address from the settings or the platform's list that belongs to no running member. */
    private void probeDiscoveryAddress() {
        List<String> candidates = new ArrayList<>(seeds);
        candidates.addAll(platformAddresses);
        candidates.remove(state.self().peerAddress());
        for (Member member : state.running()) {
            candidates.remove(member.peerAddress());
        }
        if (!candidates.isEmpty()) {
            sendHeartbeat("", candidates.get(random.nextInt(candidates.size())));
        }
    }

    private void probe(Member target) {
        sendHeartbeat(target.name(), target.peerAddress()).whenComplete((reply, failure) -> {
            if (failure != null) {
                submit(() -> probeIndirectly(target));
            }
        });
    }

    /** Sends a heartbeat to each other target if there are at most {@link #TICKS_BETWEEN_PLATFORM_READS} targets. */
    private void probeAll(List<Member> targets) {
        for (Member target : targets) {
            if (!target.name().equals(state.self().name()) && targets.size() <= TICKS_BETWEEN_PLATFORM_READS) {
                sendHeartbeat(target.name(), target.peerAddress());
            }
        }
    }

    /** Has other members probe a member that did not answer, and records a failed probe if none of them reaches it. */
    private void probeIndirectly(Member target) {
        PeerEnvelope body = PeerEnvelope.newBuilder()
                .setIndirectProbe(IndirectProbe.newBuilder()
                        .setTargetEntryVm(target.name())
                        .setTargetPeerAddress(target.peerAddress()))
                .build();
        List<CompletableFuture<Boolean>> results = new ArrayList<>();
        for (Member prober : state.chooseIndirectProbers(target.name(), INDIRECT_PROBER_COUNT, random.nextLong())) {
            sentBytes.increment(body.getSerializedSize());
            results.add(messenger
                    .request(prober.peerAddress(), body, probeTimeout.multipliedBy(2))
                    .handle((reply, failure) -> failure == null));
        }
        CompletableFuture.allOf(results.toArray(CompletableFuture[]::new)).whenComplete((none, failure) -> {
            if (results.stream().noneMatch(CompletableFuture::join)) {
                submit(() -> logAndPublish(state.onProbeUnanswered(target, nowMillis())));
            }
        });
    }

    private CompletableFuture<PeerEnvelope> sendHeartbeat(String name, String address) {
        Heartbeat.Builder heartbeat = Heartbeat.newBuilder()
                .setIncarnation(state.self().incarnation())
                .setPeerAddress(state.self().peerAddress())
                .setConfigurationVersion(configurationVersion.getAsLong())
                .setWithdrawalCount(withdrawalCount.getAsLong())
                .addAllNews(MembershipUpdateCodec.encode(state.updatesFor(name)));
        PeerEnvelope body = PeerEnvelope.newBuilder().setHeartbeat(heartbeat).build();
        sentBytes.increment(body.getSerializedSize());
        CompletableFuture<PeerEnvelope> reply = messenger.request(address, body, probeTimeout);
        return reply.whenComplete((message, failure) -> {
            if (failure == null) {
                submit(() -> onAcknowledgement(address, message));
            }
        });
    }

    private void onAcknowledgement(String address, PeerEnvelope message) {
        HeartbeatAcknowledgement acknowledgement = message.getHeartbeatAcknowledgement();
        if (message.getSenderEntryVm().isEmpty()) {
            return;
        }
        logAndPublish(state.onUpdates(MembershipUpdateCodec.decode(acknowledgement.getNewsList()), nowMillis()));
        recordContact(message, address, acknowledgement.getIncarnation());
        versionListener.onPeerVersion(
                address, acknowledgement.getConfigurationVersion(), acknowledgement.getWithdrawalCount());
    }

    private PeerEnvelope answerHeartbeat(PeerEnvelope message) {
        Heartbeat heartbeat = message.getHeartbeat();
        String sender = message.getSenderEntryVm();
        boolean isJoining = state.find(sender)
                .filter(known -> known.isRunning() && known.incarnation() >= heartbeat.getIncarnation())
                .isEmpty();
        logAndPublish(state.onUpdates(MembershipUpdateCodec.decode(heartbeat.getNewsList()), nowMillis()));
        if (!sender.isEmpty() && !heartbeat.getPeerAddress().isEmpty()) {
            recordContact(message, heartbeat.getPeerAddress(), heartbeat.getIncarnation());
            versionListener.onPeerVersion(
                    heartbeat.getPeerAddress(), heartbeat.getConfigurationVersion(), heartbeat.getWithdrawalCount());
        }
        List<Member> updates = isJoining ? state.allMembers() : state.updatesFor(sender);
        PeerEnvelope reply = PeerEnvelope.newBuilder()
                .setHeartbeatAcknowledgement(HeartbeatAcknowledgement.newBuilder()
                        .setIncarnation(state.self().incarnation())
                        .setConfigurationVersion(configurationVersion.getAsLong())
                        .setWithdrawalCount(withdrawalCount.getAsLong())
                        .addAllNews(MembershipUpdateCodec.encode(updates)))
                .build();
        sentBytes.increment(reply.getSerializedSize());
        return reply;
    }

    private CompletableFuture<PeerEnvelope> answerIndirectProbe(PeerEnvelope message) {
        IndirectProbe probe = message.getIndirectProbe();
        CompletableFuture<PeerEnvelope> result = new CompletableFuture<>();
        submit(() -> sendHeartbeat(probe.getTargetEntryVm(), probe.getTargetPeerAddress())
                .whenComplete((reply, failure) -> {
                    if (failure == null && reply.getSenderEntryVm().equals(probe.getTargetEntryVm())) {
                        result.complete(PeerEnvelope.newBuilder()
                                .setAcknowledgement(Acknowledgement.getDefaultInstance())
                                .build());
                    } else {
                        result.completeExceptionally(RefusalException.notRun(
                                RefusalKind.PEER_UNAVAILABLE, "no response from " + probe.getTargetEntryVm()));
                    }
                }));
        return result;
    }

    private void recordContact(PeerEnvelope message, String address, long incarnation) {
        Member sender = new Member(
                message.getSenderEntryVm(),
                message.getSenderFailureDomain(),
                address,
                Math.max(0, incarnation),
                MemberState.ALIVE);
        logAndPublish(state.onContact(sender, nowMillis()));
    }

    private void logAndPublish(List<MemberChange> changes) {
        for (MemberChange change : changes) {
            Member member = change.member();
            LOGGER.info(
                    "entry VM {} of {} at {} incarnation {} is {}: {}",
                    member.name(),
                    member.failureDomain(),
                    member.peerAddress(),
                    member.incarnation(),
                    member.state(),
                    change.reason());
        }
        if (!changes.isEmpty()) {
            membershipChanges.increment(changes.size());
            updateSnapshot();
        }
    }

    private void updateSnapshot() {
        snapshot = snapshotOf(state);
        recordedNames = recordedNamesOf(state);
    }

    private void readPlatformAddresses() {
        PlatformClient client = platform;
        if (client == null) {
            return;
        }
        client.virtualMachines().whenComplete((machines, failure) -> {
            if (failure == null) {
                submit(() -> platformAddresses = entryVmAddresses(machines));
            } else {
                LOGGER.debug("could not read the list of virtual machines from the platform", failure);
            }
        });
    }

    private static Set<String> entryVmAddresses(List<VirtualMachine> machines) {
        return machines.stream()
                .filter(machine ->
                        machine.kind().equals("entry") && machine.state().equals("live"))
                .map(VirtualMachine::address)
                .collect(ImmutableSet.toImmutableSet());
    }

    private static Set<String> recordedNamesOf(MembershipState state) {
        return state.allMembers().stream().map(Member::name).collect(ImmutableSet.toImmutableSet());
    }

    private static List<EntryVm> snapshotOf(MembershipState state) {
        return state.running().stream()
                .map(member -> new EntryVm(
                        member.name(),
                        member.failureDomain(),
                        member.peerAddress(),
                        member.state() == MemberState.LEAVING))
                .collect(ImmutableList.toImmutableList());
    }

    private static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /** Builds a {@link MembershipController}. Not thread-safe. */
    public static final class Builder {
        private final Member self;
        private final PeerMessenger messenger;
        private @Nullable PlatformClient platform;
        private Duration probeInterval = Duration.ofSeconds(1);
        private Duration probeTimeout = Duration.ofMillis(500);
        private MembershipTimings timings = MembershipTimings.DEFAULT;
        private List<String> seeds = ImmutableList.of();
        private LongSupplier configurationVersion = () -> 0;
        private LongSupplier withdrawalCount = () -> 0;
        private PeerVersionListener versionListener = (address, version, count) -> {};
        private MeterRegistry meterRegistry = new SimpleMeterRegistry();

        private Builder(Member self, PeerMessenger messenger) {
            this.self = requireNonNull(self, "self");
            this.messenger = requireNonNull(messenger, "messenger");
        }

        /** Sets the platform client whose list of virtual machines supplies addresses to probe; optional. */
        public Builder platform(PlatformClient value) {
            this.platform = requireNonNull(value, "platform");
            return this;
        }

        /** Sets the interval between probes and the time-out of a probe. */
        public Builder probes(Duration interval, Duration timeout) {
            checkArgument(!interval.isNegative() && !interval.isZero(), "interval must be positive, was %s", interval);
            checkArgument(!timeout.isNegative() && !timeout.isZero(), "timeout must be positive, was %s", timeout);
            this.probeInterval = interval;
            this.probeTimeout = timeout;
            return this;
        }

        /** Sets the time-outs of member states. */
        public Builder timings(MembershipTimings value) {
            this.timings = requireNonNull(value, "timings");
            return this;
        }

        /** Sets the peer addresses from the settings, which are probed while no running member has them. */
        public Builder seeds(List<String> value) {
            this.seeds = ImmutableList.copyOf(value);
            return this;
        }

        /** Sets the sources of the configuration version and the withdrawal digest that heartbeats carry. */
        public Builder versions(LongSupplier configuration, LongSupplier withdrawals) {
            this.configurationVersion = requireNonNull(configuration, "configuration");
            this.withdrawalCount = requireNonNull(withdrawals, "withdrawals");
            return this;
        }

        /** Sets the listener for the versions that peers report. */
        public Builder versionListener(PeerVersionListener value) {
            this.versionListener = requireNonNull(value, "versionListener");
            return this;
        }

        /** Sets the registry of the metrics. */
        public Builder meterRegistry(MeterRegistry value) {
            this.meterRegistry = requireNonNull(value, "meterRegistry");
            return this;
        }

        /** Creates the controller without starting it. */
        public MembershipController build() {
            return new MembershipController(this);
        }
    }
}
