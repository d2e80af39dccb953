package org.banyanhook.daemon.execution;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.banyanhook.core.configuration.BackendServer;
import org.banyanhook.core.configuration.Database;
import org.banyanhook.core.configuration.FailureDomain;
import org.banyanhook.core.configuration.FleetConfiguration;
import org.banyanhook.core.configuration.Service;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;
import org.banyanhook.core.routing.DepartureLedger;
import org.banyanhook.daemon.configuration.ConfigurationSource;
import org.banyanhook.daemon.duty.Duty;

/**
 * Watches the configuration for backend servers that leave and failure domains that are taken out.
 *
 * <p>A departing replica gets no new work at once. A departing primary gets it for a short grace while a planned move
 * replaces it. An entry VM of a failure domain that is taken out serves for a short grace, asking callers to reconnect,
 * and then refuses. Safe for use by several threads.
 */
public final class DrainWatch implements MemberAvailability, AutoCloseable {

    private static final Logger LOGGER = LogManager.getLogger(DrainWatch.class);
    private static final Duration TICK = Duration.ofMillis(100);
    private static final long PRIMARY_GRACE_NANOS = Duration.ofSeconds(3).toNanos();
    private static final long CALLER_GRACE_NANOS = Duration.ofSeconds(2).toNanos();
    private static final String MEMBER = "member ";
    private static final String DOMAIN = "failure domain ";
    private static final String ENTRY_VM = "entry VM ";

    private final String entryVm;
    private final String failureDomain;
    private final ConfigurationSource configuration;
    private final DepartureLedger ledger = new DepartureLedger();
    private final Object lock = new Object();
    private final Duty duty;
    private volatile FleetConfiguration observed = FleetConfiguration.EMPTY;

    /**
     * Creates a watch and starts its duty thread.
     *
     * @param entryVm the name of this entry VM
     * @param failureDomain the failure domain of this entry VM
     * @param configuration gives the configuration in force
     */
    public DrainWatch(String entryVm, String failureDomain, ConfigurationSource configuration) {
        this.entryVm = requireNonNull(entryVm, "entryVm");
        this.failureDomain = requireNonNull(failureDomain, "failureDomain");
        this.configuration = requireNonNull(configuration, "configuration");
        this.duty = Duty.builder("departures").tick(TICK, this::observe).start();
    }

    @Override
    public boolean acceptsRequests(BackendServer member, boolean asPrimary) {
        return takesWork(MEMBER + member.name(), asPrimary ? PRIMARY_GRACE_NANOS : 0);
    }

    /** Returns whether this entry VM is drained or its failure domain is taken out. */
    public boolean isDraining() {
        return !takesWork(DOMAIN + failureDomain, 0) || !takesWork(ENTRY_VM + entryVm, 0);
    }

    /**
     * Checks that this entry VM may start new work.
     *
     * @throws RefusalException of kind {@code FAILURE_DOMAIN_TAKEN_OUT} or {@code ENTRY_VM_DRAINING} if its failure
     *     domain has been taken out, or it has been drained, for longer than the grace
     */
    public void requireInService() throws RefusalException {
        if (!takesWork(DOMAIN + failureDomain, CALLER_GRACE_NANOS)) {
            throw departed(RefusalKind.FAILURE_DOMAIN_TAKEN_OUT, "Failure domain " + failureDomain + " is taken out.");
        }
        if (!takesWork(ENTRY_VM + entryVm, CALLER_GRACE_NANOS)) {
            throw departed(RefusalKind.ENTRY_VM_DRAINING, "Operators drain entry VM " + entryVm + ".");
        }
    }

    private static RefusalException departed(RefusalKind kind, String detail) {
        return RefusalException.builder(kind)
                .detail(detail)
                .retryAfter(Duration.ofSeconds(1))
                .build();
    }

    /**
     * Starts work that came from another entry VM, unless this entry VM departed longer than the grace ago.
     *
     * @param work starts the work
     * @param <T> the type of its result
     * @return the result of the work; failed with a {@link RefusalException} if it was not started
     */
    public <T> CompletableFuture<T> runIfInService(Supplier<CompletableFuture<T>> work) {
        try {
            requireInService();
            return work.get();
        } catch (RefusalException refusal) {
            return CompletableFuture.failedFuture(refusal);
        }
    }

    @Override
    public void close() {
        duty.close();
    }

    private boolean takesWork(String name, long graceNanos) {
        observe();
        synchronized (lock) {
            return ledger.takesWork(name, graceNanos, System.nanoTime());
        }
    }

    private void observe() {
        FleetConfiguration current = configuration.current();
        if (current == observed || current.version() == 0) {
            return;
        }
        Set<String> inService = new HashSet<>();
        Set<String> departing = new HashSet<>();
        boolean drained = current.drainedEntryVms().contains(entryVm);
        (drained ? departing : inService).add(ENTRY_VM + entryVm);
        for (FailureDomain domain : current.failureDomains()) {
            (domain.takenOut() ? departing : inService).add(DOMAIN + domain.name());
        }
        for (Service service : current.services()) {
            for (Database database : service.databases()) {
                for (BackendServer member : database.members()) {
                    boolean departs = member.leaving() || departing.contains(DOMAIN + member.failureDomain());
                    (departs ? departing : inService).add(MEMBER + member.name());
                }
            }
        }
        synchronized (lock) {
            ledger.observe(inService, departing, System.nanoTime());
            observed = current;
        }
        LOGGER.info("configuration version {}: no new work goes to {}", current.version(), departing);
    }
}
