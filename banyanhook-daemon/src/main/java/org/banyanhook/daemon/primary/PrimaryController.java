package org.banyanhook.daemon.primary;

import static java.util.Objects.requireNonNull;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.ForkJoinPool;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.banyanhook.core.configuration.Database;
import org.banyanhook.core.configuration.FleetConfiguration;
import org.banyanhook.core.error.Execution;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;
import org.banyanhook.core.primary.DataAgeBounds;
import org.banyanhook.core.primary.ReplicaSelection;
import org.banyanhook.core.replication.LogPosition;
import org.banyanhook.daemon.configuration.ConfigurationSource;
import org.banyanhook.daemon.duty.TaskLoop;
import org.banyanhook.daemon.membership.EntryVm;
import org.banyanhook.daemon.membership.MembershipSource;
import org.banyanhook.daemon.peer.PeerMessenger;
import org.banyanhook.daemon.platform.PlatformClient;
import org.jspecify.annotations.Nullable;

/**
 * Tracks the primaries of the database groups, replaces failed ones and carries out planned switchovers.
 *
 * <p>It monitors the databases for which this daemon is a proposer candidate, and other databases only while requests
 * use them. One thread owns the mutable state; other threads read immutable snapshots. Thread-safe.
 */
public final class PrimaryController implements PrimaryDirectory, PositionConfirmer, AutoCloseable {

    private static final Logger LOGGER = LogManager.getLogger(PrimaryController.class);
    private static final Duration TICK_INTERVAL = Duration.ofMillis(50);
    private static final long MINIMUM_PLAN_INTERVAL_NANOS =
            Duration.ofMillis(200).toNanos();

    /** Limits the computation of full plans to about one hundredth of the thread's time. */
    private static final long PLAN_INTERVAL_COST_MULTIPLE = 100;

    private final String entryVm;
    private final String failureDomain;
    private final ConfigurationSource configuration;
    private final MembershipSource membership;
    private final PeerMessenger messenger;
    private final LongSupplier nanoClock;
    private final DoubleSupplier random;
    private final ControllerContext context;
    private final PrimaryPublisher changePublisher;
    private final ConcurrentHashMap<String, GroupSnapshot> snapshots = new ConcurrentHashMap<>();
    private final ConcurrentHashMap<String, DatabaseUsage> usages = new ConcurrentHashMap<>();
    private final Map<String, MonitoredGroup> groups = new HashMap<>();

    private volatile @Nullable TaskLoop taskLoop;
    private volatile MonitoringPlan plan;
    private long planCreatedNanos;
    private long planCostNanos;

    private PrimaryController(Builder builder) {
        this.entryVm = requireSet(builder.entryVm, "entryVm");
        this.failureDomain = requireSet(builder.failureDomain, "failureDomain");
        this.configuration = requireSet(builder.configuration, "configuration");
        this.membership = requireSet(builder.membership, "membership");
        this.messenger = requireSet(builder.messenger, "messenger");
        this.nanoClock = builder.nanoClock;
        this.random = builder.random;
        BackendControl control = requireSet(builder.control, "control");
        PrimaryMetrics metrics = new PrimaryMetrics(builder.meterRegistry);
        this.context = new ControllerContext(control, this::execute, builder.callbacks, nanoClock, metrics);
        this.changePublisher = new PrimaryPublisher(
                requireSet(builder.platform, "platform"), messenger, () -> plan, builder.homeEntryVms);
        this.plan = MonitoringPlan.of(FleetConfiguration.EMPTY, List.of(), entryVm, failureDomain);
    }

    private static <T> T requireSet(@Nullable T value, String name) {
        return requireNonNull(value, () -> name + " must be set");
    }

    /** Returns a new builder. */
    public static Builder builder() {
        return new Builder();
    }

    /** Registers the handlers for peer messages and starts the controller's thread. Must be called once only. */
    public void start() {
        EvidenceExchange evidenceExchange = new EvidenceExchange(messenger, context);
        new PrimaryMessageHandlers(context, evidenceExchange, new GroupAccess()).register(messenger);
        taskLoop = TaskLoop.builder("primary-controller")
                .tick(TICK_INTERVAL, this::tick)
                .start();
    }

    @Override
    public void close() {
        TaskLoop startedLoop = taskLoop;
        if (startedLoop != null) {
            startedLoop.close();
        }
    }

    private void execute(Runnable task) {
        TaskLoop startedLoop = taskLoop;
        if (startedLoop == null || !startedLoop.submit(task)) {
            LOGGER.warn("the primary controller is not started or its ring buffer is full; dropped a task");
        }
    }

    @Override
    public Optional<PrimaryView> primary(String database) {
        usage(database).recordUse(nanoClock.getAsLong());
        GroupSnapshot snapshot = snapshots.get(database);
        if (snapshot == null) {
            return Optional.empty();
        }
        return snapshot.primary().map(primary -> new PrimaryView(database, primary.term(), primary.member()));
    }

    @Override
    public Optional<String> selectReplica(String database, LogPosition minimumPosition, long maximumAgeMillis) {
        long now = nanoClock.getAsLong();
        usage(database).recordReplicaRead(now, maximumAgeMillis);
        GroupSnapshot snapshot = snapshots.get(database);
        if (snapshot == null) {
            return Optional.empty();
        }
        ReplicaSelection.ReadRequirements requirements = new ReplicaSelection.ReadRequirements(
                minimumPosition, maximumAgeMillis, failureDomain, plan.takenOutFailureDomains());
        return ReplicaSelection.choose(snapshot.view(), snapshot.ageBounds(), requirements, now);
    }

    @Override
    public long ageBoundMillis(String database, LogPosition position) {
        GroupSnapshot snapshot = snapshots.get(database);
        return snapshot == null
                ? DataAgeBounds.UNBOUNDED_MILLIS
                : snapshot.ageBounds().ageBoundMillis(position, nanoClock.getAsLong());
    }

    @Override
    public boolean isDurable(String database, LogPosition position) {
        GroupSnapshot snapshot = snapshots.get(database);
        return snapshot != null && snapshot.isDurable(position);
    }

    @Override
    public long confirmationDelayMillis(String database) {
        GroupSnapshot snapshot = snapshots.get(database);
        if (snapshot == null) {
            return 0;
        }
        return snapshot.oldestRegisteredNanos()
                .map(since -> Math.max(0, nanoClock.getAsLong() - since) / 1_000_000)
                .orElse(0L);
    }

    @Override
    public CompletableFuture<Void> confirm(String database, LogPosition position, Duration timeout) {
        CompletableFuture<Void> result = new CompletableFuture<>();
        long now = nanoClock.getAsLong();
        usage(database).recordUse(now);
        ConfirmationQueue.PendingConfirmation pending =
                new ConfirmationQueue.PendingConfirmation(position, now, now + timeout.toNanos(), result);
        TaskLoop startedLoop = taskLoop;
        boolean accepted = startedLoop != null && startedLoop.submit(() -> confirm(database, pending));
        if (!accepted) {
            result.completeExceptionally(
                    outcomeUnknown("the primary controller is not started or its ring buffer is full"));
        }
        return result;
    }

    private void confirm(String database, ConfirmationQueue.PendingConfirmation pending) {
        Optional<MonitoredGroup> group = findOrCreateGroup(database);
        if (group.isEmpty()) {
            pending.future().completeExceptionally(outcomeUnknown("database " + database + " is not configured"));
            return;
        }
        group.get().monitor().confirm(pending);
    }

    private static RefusalException outcomeUnknown(String detail) {
        return RefusalException.builder(RefusalKind.OUTCOME_UNKNOWN)
                .execution(Execution.UNKNOWN)
                .detail(detail)
                .build();
    }

    @Override
    public void reportRequestOutcome(String database, String member, boolean reachable, long observedTerm) {
        GroupSnapshot snapshot = snapshots.get(database);
        long knownTerm = snapshot == null ? 0 : snapshot.view().highestTerm();
        if (reachable && observedTerm <= knownTerm) {
            return;
        }
        execute(() -> findOrCreateGroup(database).ifPresent(group -> {
            if (!reachable) {
                group.onRequestFailed(plan, member);
            }
            group.monitor().readAll();
        }));
    }

    private DatabaseUsage usage(String database) {
        DatabaseUsage existing = usages.get(database);
        if (existing != null) {
            return existing;
        }
        DatabaseUsage created = new DatabaseUsage(nanoClock.getAsLong());
        if (usages.putIfAbsent(database, created) == null) {
            execute(() -> findOrCreateGroup(database)
                    .ifPresentOrElse(group -> group.monitor().readAll(), () -> usages.remove(database)));
        }
        return created;
    }

    private Optional<MonitoredGroup> findOrCreateGroup(String database) {
        MonitoredGroup existing = groups.get(database);
        if (existing != null) {
            return Optional.of(existing);
        }
        Database configured = plan.databases().get(database);
        if (configured == null) {
            configured = configuration.current().database(database).orElse(null);
        }
        if (configured == null) {
            return Optional.empty();
        }
        MonitoredGroup created = newGroup(configured);
        groups.put(database, created);
        return Optional.of(created);
    }

    private MonitoredGroup newGroup(Database database) {
        GroupMonitor monitor =
                new GroupMonitor(context, database, snapshot -> snapshots.put(database.name(), snapshot));
        PromotionCoordinator coordinator = new PromotionCoordinator(context, monitor, random, changePublisher);
        return new MonitoredGroup(context, monitor, coordinator, new EvidenceExchange(messenger, context));
    }

    private void tick() {
        long now = context.nowNanos();
        updatePlan(now);
        plan.ranks().forEach((database, rank) -> {
            if (rank < MonitoredGroup.PROBING_RANK_COUNT) {
                findOrCreateGroup(database);
            }
        });
        groups.values().removeIf(group -> removeIfIdle(group, now));
        for (MonitoredGroup group : List.copyOf(groups.values())) {
            group.tick(plan, usages.get(group.name()), now);
        }
    }

    private boolean removeIfIdle(MonitoredGroup group, long now) {
        boolean idle = group.isIdle(plan, usages.get(group.name()), now);
        if (idle) {
            usages.remove(group.name());
            snapshots.remove(group.name());
        }
        return idle;
    }

    private void updatePlan(long now) {
        long minimumIntervalNanos = Math.max(MINIMUM_PLAN_INTERVAL_NANOS, planCostNanos * PLAN_INTERVAL_COST_MULTIPLE);
        FleetConfiguration currentConfiguration = configuration.current();
        List<EntryVm> liveEntryVms = membership.liveEntryVms();
        if (now - planCreatedNanos >= minimumIntervalNanos && !plan.isBasedOn(liveEntryVms)) {
            plan = MonitoringPlan.of(currentConfiguration, liveEntryVms, entryVm, failureDomain);
            planCreatedNanos = now;
            planCostNanos = context.nowNanos() - now;
        } else if (!plan.isBasedOn(currentConfiguration)) {
            plan = plan.withConfiguration(currentConfiguration);
        } else {
            return;
        }
        groups.keySet().removeIf(database -> !plan.databases().containsKey(database));
        snapshots.keySet().removeIf(database -> !plan.databases().containsKey(database));
        groups.values()
                .forEach(group -> group.monitor()
                        .updateDatabase(requireNonNull(
                                plan.databases().get(group.monitor().database().name()))));
    }

    private final class GroupAccess implements PrimaryMessageHandlers.GroupLookup {
        @Override
        public Optional<GroupSnapshot> snapshot(String database) {
            usage(database).recordUse(nanoClock.getAsLong());
            return Optional.ofNullable(snapshots.get(database));
        }

        @Override
        public Optional<MonitoredGroup> findOrCreate(String database) {
            return PrimaryController.this.findOrCreateGroup(database);
        }

        @Override
        public Optional<MonitoredGroup> findExisting(String database) {
            return Optional.ofNullable(groups.get(database));
        }
    }

    /** Builds a {@link PrimaryController}. Not thread-safe. */
    public static final class Builder {
        private @Nullable String entryVm;
        private @Nullable String failureDomain;
        private @Nullable ConfigurationSource configuration;
        private @Nullable MembershipSource membership;
        private @Nullable PeerMessenger messenger;
        private @Nullable PlatformClient platform;
        private @Nullable BackendControl control;
        private Function<String, List<EntryVm>> homeEntryVms = database -> List.of();
        private MeterRegistry meterRegistry = new SimpleMeterRegistry();
        private Executor callbacks = ForkJoinPool.commonPool();
        private LongSupplier nanoClock = System::nanoTime;
        private DoubleSupplier random = () -> ThreadLocalRandom.current().nextDouble();

        private Builder() {}

        /** Sets the name of this entry VM. */
        public Builder entryVm(String value) {
            this.entryVm = value;
            return this;
        }

        /** Sets the failure domain of this entry VM. */
        public Builder failureDomain(String value) {
            this.failureDomain = value;
            return this;
        }

        /** Sets the source of the active configuration. */
        public Builder configuration(ConfigurationSource value) {
            this.configuration = value;
            return this;
        }

        /** Sets the source of the live entry VMs. */
        public Builder membership(MembershipSource value) {
            this.membership = value;
            return this;
        }

        /** Sets the messenger for requests and messages to peers. */
        public Builder messenger(PeerMessenger value) {
            this.messenger = value;
            return this;
        }

        /**
         * Sets the function that returns the entry VMs that use a database. In a large fleet, a change of the primary
         * is announced only to these and to the proposer candidates. Defaults to none.
         */
        public Builder homeEntryVms(Function<String, List<EntryVm>> value) {
            this.homeEntryVms = requireNonNull(value, "homeEntryVms");
            return this;
        }

        /** Sets the platform client, which stores the current primaries as hints. */
        public Builder platform(PlatformClient value) {
            this.platform = value;
            return this;
        }

        /** Sets the client for control calls to backend servers; the caller closes it after the controller. */
        public Builder control(BackendControl value) {
            this.control = value;
            return this;
        }

        /** Sets the meter registry. Defaults to a new in-memory registry. */
        public Builder meterRegistry(MeterRegistry value) {
            this.meterRegistry = requireNonNull(value, "meterRegistry");
            return this;
        }

        /** Sets the executor that completes confirmations. Defaults to the common pool. */
        public Builder callbacks(Executor value) {
            this.callbacks = requireNonNull(value, "callbacks");
            return this;
        }

        /** Sets the monotonic clock in nanoseconds. Defaults to {@link System#nanoTime}. */
        public Builder nanoClock(LongSupplier value) {
            this.nanoClock = requireNonNull(value, "nanoClock");
            return this;
        }

        /** Sets the source of random numbers in the range from 0 (inclusive) to 1 (exclusive). */
        public Builder random(DoubleSupplier value) {
            this.random = requireNonNull(value, "random");
            return this;
        }

        /** Creates the controller without starting it. */
        public PrimaryController build() {
            return new PrimaryController(this);
        }
    }
}
