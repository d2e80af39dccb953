package org.banyanhook.gateway.usage;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;
import org.banyanhook.core.usage.UsageCounter;
import org.banyanhook.core.usage.UsageSettings;
import org.banyanhook.core.usage.UsageWindows;
import org.banyanhook.daemon.peer.PeerMessenger;
import org.banyanhook.gateway.fleet.DutyLease;
import org.banyanhook.gateway.fleet.FleetDirectory;
import org.banyanhook.gateway.fleet.FleetDirectory.HeldDuty;
import org.banyanhook.gateway.operation.DecisionLog;
import org.banyanhook.gateway.operation.GatewayMetrics;
import org.banyanhook.gateway.operation.MonotonicClock;
import org.banyanhook.gateway.operation.PeriodicChecks;
import org.banyanhook.gateway.port.FleetRecord;
import org.banyanhook.gateway.port.FleetRecordCodec;
import org.banyanhook.gateway.port.RecordStore;
import org.banyanhook.gateway.port.StoreLease;
import org.banyanhook.gateway.port.UsageAuthority;

/** The parts of a daemon that count requests and report them. Used on the event loop only. */
public final class UsageReporting {

    /** The interval at which changed counts are sent; the counts of at most one interval are lost with a daemon. */
    public static final long TICK_INTERVAL_MILLIS = 500;

    /** How much longer the lease lasts than holders must not alternate; covers a store call that is repeated. */
    private static final long LEASE_MARGIN_MILLIS = 1_000;

    private final UsageMeter meter;
    private final UsageForwarding forwarding;
    private final UsageHolder holder;
    private final PeriodicChecks checks;

    /**
     * What the reporting of usage requires.
     *
     * @param entryVm the name of this entry VM
     * @param settings the bounds of reports
     * @param store the record store
     * @param recordCodec the names and the format of the records in the store
     * @param authority accepts the reports
     * @param messenger sends messages to other daemons
     * @param directory the directory of the fleet
     * @param eventLoop the event loop on which everything runs
     * @param clock the monotonic clock
     * @param wallClockMillis the wall clock, in milliseconds since the start of 1970
     * @param random random numbers from 0 to 1
     * @param log receives a line for each report
     * @param metrics the metrics of the gateway
     */
    public record Context(
            String entryVm,
            UsageSettings settings,
            RecordStore store,
            FleetRecordCodec recordCodec,
            UsageAuthority authority,
            PeerMessenger messenger,
            FleetDirectory directory,
            Executor eventLoop,
            MonotonicClock clock,
            LongSupplier wallClockMillis,
            DoubleSupplier random,
            DecisionLog log,
            GatewayMetrics metrics) {}

    /** Creates the reporting of usage, and starts to answer the messages of other daemons. */
    public UsageReporting(Context context) {
        UsageWindows windows = new UsageWindows(context.settings());
        UsageCounter counter = new UsageCounter(windows);
        UsageClock usageClock =
                new UsageClock(context.entryVm(), context.directory(), context.clock(), context.wallClockMillis());
        this.meter = new CountingUsageMeter(counter, usageClock.estimate(), context.clock());
        this.holder = new UsageHolder(new UsageHolder.Context(
                context.entryVm(),
                context.settings(),
                newLease(context),
                new UsageLedger(context.store(), context.recordCodec()::usageDecisionsKey),
                context.authority(),
                usageClock,
                context.directory(),
                context.clock(),
                context.random(),
                context.log(),
                context.metrics()));
        this.forwarding = new UsageForwarding(
                context.entryVm(),
                context.wallClockMillis().getAsLong(),
                counter,
                usageClock,
                holder,
                context.messenger(),
                context.directory(),
                context.eventLoop(),
                context.clock());
        // Separate checks, so that an exception in the forwarding of counts does not skip the renewal of the lease.
        this.checks = new PeriodicChecks(List.of(forwarding::tick, holder::tick), context.log());
    }

    private static UsageLease newLease(Context context) {
        DutyLease lease = new DutyLease(
                context.store(),
                context.recordCodec().usageDutyKey(),
                context.recordCodec().encode(new FleetRecord.UsageDutyHolder(context.entryVm())),
                "usage-duty",
                UsageLease.DUTY,
                Duration.ofMillis(context.settings().leaseMillis() + LEASE_MARGIN_MILLIS),
                () -> formerLease(context),
                context.clock(),
                context.log());
        return new UsageLease(
                context.entryVm(),
                lease,
                context.directory(),
                context.settings().leaseMillis(),
                context.clock(),
                context.log());
    }

    private static Optional<StoreLease> formerLease(Context context) {
        return context.directory()
                .usageDuty()
                .filter(duty -> duty.entryVm().equals(context.entryVm())
                        && !duty.lease().isNone())
                .map(HeldDuty::lease);
    }

    /** Returns the meter that counts the requests of this daemon. */
    public UsageMeter meter() {
        return meter;
    }

    /** Does what is due. Throws no exception. Call every {@link #TICK_INTERVAL_MILLIS}. */
    public void tick() {
        checks.perform();
    }

    /** Drops the duty, because the store was restored from a copy. */
    public void onStoreRestored() {
        holder.onStoreRestored();
    }

    /** Lets another daemon take the duty, because this one is going to stop. Counting goes on. */
    public CompletableFuture<Void> giveUpDuty() {
        return holder.giveUp();
    }

    /**
     * Sends the last counts of this daemon.
     *
     * @return a future that completes when they have arrived or are lost
     */
    public CompletableFuture<Void> finish() {
        return forwarding.finish();
    }
}
