package org.banyanhook.gateway.usage;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import org.banyanhook.core.usage.UsageCollection;
import org.banyanhook.core.usage.UsageDecision;
import org.banyanhook.core.usage.UsageReportSchedule;
import org.banyanhook.core.usage.UsageReportSchedule.Report;
import org.banyanhook.core.usage.UsageSettings;
import org.banyanhook.core.usage.UsageWindows;
import org.banyanhook.core.usage.WindowUsage;
import org.banyanhook.gateway.fleet.FleetDirectory;
import org.banyanhook.gateway.operation.DecisionLog;
import org.banyanhook.gateway.operation.GatewayMetrics;
import org.banyanhook.gateway.operation.MonotonicClock;
import org.banyanhook.gateway.port.UsageAuthority;
import org.banyanhook.protocol.generated.UsageCounts;

/**
 * Collects the counts of all daemons while this daemon holds the duty, decides each window once, records the decision
 * in the store and reports it. Nothing is reported that is not recorded. Used on the event loop only.
 */
final class UsageHolder {

    private final Context context;
    private final UsageWindows windows;
    private final UsageReportSchedule schedule;
    private final TreeMap<Long, Report> recorded = new TreeMap<>();
    private final UsageCollection collection = new UsageCollection();
    private long token;
    private boolean ledgerKnown;
    private boolean ledgerRead;
    private boolean callingStore;
    private boolean givingUp;
    private long decidedThrough;
    private ByteString observedDecisions = ByteString.EMPTY;
    private long observedToken;
    private long lastTotal;
    private CompletableFuture<Void> reportInProgress = CompletableFuture.completedFuture(null);

    /**
     * What a holder requires.
     *
     * @param entryVm the name of this entry VM
     * @param settings the bounds of reports
     * @param lease the lease of the duty
     * @param ledger the decided windows in the store
     * @param authority accepts the reports
     * @param usageClock the estimate of true time
     * @param directory the daemons that run
     * @param clock the monotonic clock
     * @param random random numbers from 0 to 1
     * @param log receives a line for each report
     * @param metrics counts decisions and reports
     */
    record Context(
            String entryVm,
            UsageSettings settings,
            UsageLease lease,
            UsageLedger ledger,
            UsageAuthority authority,
            UsageClock usageClock,
            FleetDirectory directory,
            MonotonicClock clock,
            DoubleSupplier random,
            DecisionLog log,
            GatewayMetrics metrics) {}

    UsageHolder(Context context) {
        this.context = context;
        this.windows = new UsageWindows(context.settings());
        this.schedule = new UsageReportSchedule(windows, context.settings());
        context.metrics().gauge("usage.requests", "window", "last", () -> lastTotal);
    }

    /** Returns the newest window that is known to be decided, or 0 if none is. */
    long decidedThrough() {
        return decidedThrough;
    }

    /** Records that windows up to this one are decided. The store may lose that when it is restored from a copy. */
    void observeDecided(long window) {
        boolean possible = !context.usageClock().isUsable()
                || window <= windows.settledAt(context.usageClock().trueMillis()) + 1;
        // A daemon whose clock was wrong may have passed over windows that have not begun.
        if (window > decidedThrough && possible) {
            decidedThrough = window;
        }
    }

    /**
     * Takes the counts of a daemon if this daemon holds the duty, or those of the holder if another one does.
     *
     * @return whether this daemon holds the duty and has taken the counts
     */
    boolean receive(String daemon, UsageCounts counts) {
        observeDecided(counts.getDecidedWindow());
        boolean held = !givingUp && context.lease().isHeld();
        boolean fromHolder = context.directory()
                .usageDuty()
                .filter(duty -> duty.entryVm().equals(daemon))
                .isPresent();
        if (!held && !fromHolder) {
            return false;
        }
        counts.getWindowsList()
                .forEach(window -> collection.add(
                        daemon,
                        counts.getIncarnation(),
                        new WindowUsage(window.getWindow(), UsageMessages.counts(window), window.getComplete(), 0)));
        return held;
    }

    /** Drops the duty, because the store was restored from a copy that may lack what was decided. */
    void onStoreRestored() {
        ledgerKnown = false;
        ledgerRead = false;
        context.lease().onStoreRestored();
    }

    /** Does what is due: takes or renews the lease, reads the ledger, decides and reports windows. */
    void tick() {
        observeStore();
        if (givingUp) {
            return;
        }
        context.lease().tick();
        if (!context.lease().isHeld()) {
            ledgerKnown = false;
            collection.forgetThrough(windows.oldestKeptAt(context.usageClock().trueMillis()) - 1);
            return;
        }
        if (token != context.lease().token()) {
            token = context.lease().token();
            ledgerKnown = false;
            ledgerRead = false;
        }
        if (!ledgerKnown) {
            readLedger();
        } else {
            decideNext();
        }
        if (ledgerRead) {
            reportNext();
        }
    }

    /** Stops reporting and lets another daemon take the duty, after the report in progress. */
    CompletableFuture<Void> giveUp() {
        givingUp = true;
        return reportInProgress
                .exceptionally(failure -> null)
                .thenCompose(done -> context.lease().release());
    }

    private void observeStore() {
        ByteString decisions = context.directory().usageDecisions();
        if (!decisions.equals(observedDecisions)) {
            observedDecisions = decisions;
            long writer = UsageLedger.token(decisions.toByteArray());
            // A former holder may write late to the record of an older era, which does not apply any more.
            if (writer >= observedToken) {
                observedToken = writer;
                UsageLedger.newestWindow(decisions.toByteArray()).ifPresent(this::observeDecided);
            }
        }
    }

    private void readLedger() {
        if (callingStore) {
            return;
        }
        callingStore = true;
        context.ledger().read().whenComplete((reports, failure) -> {
            callingStore = false;
            if (reports == null) {
                context.metrics().count("usage.store", "result", "read-failed");
                return;
            }
            ledgerKnown = true;
            ledgerRead = true;
            schedule.retain(reports.keySet());
            reports.values().forEach(this::addRecorded);
            if (!reports.isEmpty()) {
                observeDecided(reports.lastKey());
            }
        });
    }

    private void addRecorded(Report report) {
        recorded.put(report.window(), report);
        schedule.add(report);
    }

    private void decideNext() {
        if (callingStore || !context.usageClock().isUsable()) {
            return;
        }
        long now = context.usageClock().trueMillis();
        long next = Math.max(decidedThrough + 1, windows.oldestKeptAt(now));
        UsageDecision.Circumstances circumstances = new UsageDecision.Circumstances(
                now,
                context.usageClock().estimate().trueMillis(context.lease().takenNanos()),
                context.directory().daemons().keySet(),
                !recorded.isEmpty());
        UsageDecision decision = UsageDecision.decide(next, windows, collection, circumstances);
        while (decision.kind() == UsageDecision.Kind.SKIP) {
            observeDecided(next);
            if (circumstances.decidedBefore()) {
                context.log()
                        .line("usage")
                        .with("window", next)
                        .with("result", "not-reported")
                        .with("daemonsHeard", decision.daemonsHeard())
                        .write();
            }
            next++;
            decision = UsageDecision.decide(next, windows, collection, circumstances);
        }
        collection.forgetThrough(decidedThrough);
        if (decision.kind() == UsageDecision.Kind.REPORT) {
            record(new Report(next, decision.counts()), decision);
        }
    }

    private void record(Report report, UsageDecision decision) {
        recorded.keySet().removeIf(window -> !schedule.isPending(window) && window < report.window());
        List<Report> reports = new ArrayList<>(recorded.values());
        reports.add(report);
        callingStore = true;
        context.ledger().write(context.lease().token(), reports).whenComplete((done, failure) -> {
            callingStore = false;
            if (failure != null) {
                // Another holder may have decided, or the write may still be made.
                ledgerKnown = false;
                context.metrics().count("usage.store", "result", "write-failed");
                return;
            }
            observeDecided(report.window());
            addRecorded(report);
            logDecision(report, decision);
            reportNext();
        });
    }

    private void logDecision(Report report, UsageDecision decision) {
        int daemons = context.directory().daemonCount();
        lastTotal = total(report);
        context.metrics().count("usage.windows", "counts", decision.daemonsHeard() == daemons ? "complete" : "partial");
        context.log()
                .line("usage")
                .with("window", report.window())
                .with("result", "decided")
                .with("requests", lastTotal)
                .with("accounts", report.counts().size())
                .with("daemonsHeard", decision.daemonsHeard())
                .with("daemons", daemons)
                .with("delayMs", delayMillis(report))
                .write();
    }

    private void reportNext() {
        if (givingUp || !context.lease().maySend()) {
            return;
        }
        schedule.startNext(context.usageClock().trueMillis(), steadyMillis()).ifPresent(this::send);
    }

    private void send(Report report) {
        long sentNanos = context.clock().nowNanos();
        reportInProgress = context.authority()
                .report(
                        report.window(),
                        report.counts(),
                        context.entryVm(),
                        context.lease().token())
                .exceptionally(failure -> UsageAuthority.Result.NO_ANSWER)
                .thenAccept(result -> onResult(report, result, sentNanos));
    }

    private void onResult(Report report, UsageAuthority.Result result, long sentNanos) {
        if (result == UsageAuthority.Result.ACCEPTED) {
            schedule.onAccepted(report.window());
            context.metrics().recordLatency("usage.delay", TimeUnit.MILLISECONDS.toNanos(delayMillis(report)));
        } else if (result == UsageAuthority.Result.REJECTED) {
            schedule.onRejected(report.window());
        } else {
            schedule.onFailed(steadyMillis(), context.random().getAsDouble());
        }
        context.metrics().count("usage.reports", "result", result.name());
        context.log()
                .line("usage")
                .with("window", report.window())
                .with("result", result.name())
                .with("requests", total(report))
                .with("delayMs", delayMillis(report))
                .with("callMs", TimeUnit.NANOSECONDS.toMillis(context.clock().nowNanos() - sentNanos))
                .with("token", context.lease().token())
                .with("pending", schedule.size())
                .write();
        reportNext();
    }

    private long delayMillis(Report report) {
        return context.usageClock().trueMillis() - windows.endMillis(report.window());
    }

    private long steadyMillis() {
        return TimeUnit.NANOSECONDS.toMillis(context.clock().nowNanos());
    }

    private static long total(Report report) {
        long total = 0;
        for (Map.Entry<String, Long> count : report.counts().entrySet()) {
            total += count.getValue();
        }
        return total;
    }
}
