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
import org.banyanhook.core.routing.DrainTracker;
import org.banyanhook.daemon.configuration.ConfigurationSource;
import org.banyanhook.daemon.duty.TaskLoop;

/**
 * Watches the configuration for backend servers and entry VMs that are drained, and for failure domains that are taken
 * out.
 *
 * <p>A draining replica immediately stops accepting new requests. A draining primary still accepts them for a grace
 * period, while a planned switchover replaces it. An entry VM that is drained or whose failure domain is taken out
 * serves for a grace period, during which it asks callers to reconnect, and then refuses requests. Safe for use by
 * several threads.
 */
public final class DrainWatch implements MemberAvailability, AutoCloseable {

    private static final Logger LOGGER = LogManager.getLogger(DrainWatch.class);
    private static final Duration TICK_INTERVAL = Duration.ofMillis(100);
    private static final long PRIMARY_GRACE_PERIOD_NANOS = Duration.ofSeconds(3).toNanos();
    private static final long CALLER_GRACE_PERIOD_NANOS = Duration.ofSeconds(2).toNanos();
    private static final String MEMBER_PREFIX = "member ";
    private static final String FAILURE_DOMAIN_PREFIX = "failure domain ";
    private static final String ENTRY_VM_PREFIX = "entry VM ";

    private final String entryVm;
    private final String failureDomain;
    private final ConfigurationSource configuration;
    private final DrainTracker drainTracker = new DrainTracker();
    private final Object lock = new Object();
    private final TaskLoop taskLoop;
    private volatile FleetConfiguration observedConfiguration = FleetConfiguration.EMPTY;

    /**
     * Creates a watch and starts its task loop.
     *
     * @param entryVm the name of this entry VM
     * @param failureDomain the failure domain of this entry VM
     * @param configuration supplies the current configuration
     */
    public DrainWatch(String entryVm, String failureDomain, ConfigurationSource configuration) {
        this.entryVm = requireNonNull(entryVm, "entryVm");
        this.failureDomain = requireNonNull(failureDomain, "failureDomain");
        this.configuration = requireNonNull(configuration, "configuration");
        this.taskLoop = TaskLoop.builder("departures")
                .tick(TICK_INTERVAL, this::updateFromConfiguration)
                .start();
    }

    @Override
    public boolean acceptsRequests(BackendServer member, boolean asPrimary) {
        return acceptsRequests(MEMBER_PREFIX + member.name(), asPrimary ? PRIMARY_GRACE_PERIOD_NANOS : 0);
    }

    /** Returns whether this entry VM is drained or its failure domain is taken out. */
    public boolean isDraining() {
        return !acceptsRequests(FAILURE_DOMAIN_PREFIX + failureDomain, 0)
                || !acceptsRequests(ENTRY_VM_PREFIX + entryVm, 0);
    }

    /**
     * Checks that this entry VM accepts new requests.
     *
     * @throws RefusalException of kind {@code FAILURE_DOMAIN_TAKEN_OUT} or {@code ENTRY_VM_DRAINING} if its failure
     *     domain has been taken out, or it has been drained, for longer than the grace period
     */
    public void requireInService() throws RefusalException {
        if (!acceptsRequests(FAILURE_DOMAIN_PREFIX + failureDomain, CALLER_GRACE_PERIOD_NANOS)) {
            throw refusal(RefusalKind.FAILURE_DOMAIN_TAKEN_OUT, "Failure domain " + failureDomain + " is taken out.");
        }
        if (!acceptsRequests(ENTRY_VM_PREFIX + entryVm, CALLER_GRACE_PERIOD_NANOS)) {
            throw refusal(RefusalKind.ENTRY_VM_DRAINING, "Entry VM " + entryVm + " is being drained by an operator.");
        }
    }

    private static RefusalException refusal(RefusalKind kind, String detail) {
        return RefusalException.builder(kind)
                .detail(detail)
                .retryAfter(Duration.ofSeconds(1))
                .build();
    }

    /**
     * Starts an operation for another entry VM, unless this entry VM has been out of service for longer than the grace
     * period.
     *
     * @param operation starts the operation
     * @param <T> the type of its result
     * @return the result of the operation; failed with a {@link RefusalException} if it was not started
     */
    public <T> CompletableFuture<T> runIfInService(Supplier<CompletableFuture<T>> operation) {
        try {
            requireInService();
            return operation.get();
        } catch (RefusalException refusal) {
            return CompletableFuture.failedFuture(refusal);
        }
    }

    @Override
    public void close() {
        taskLoop.close();
    }

    private boolean acceptsRequests(String name, long gracePeriodNanos) {
        updateFromConfiguration();
        synchronized (lock) {
            return drainTracker.acceptsRequests(name, gracePeriodNanos, System.nanoTime());
        }
    }

    private void updateFromConfiguration() {
        FleetConfiguration current = configuration.current();
        if (current == observedConfiguration || current.version() == 0) {
            return;
        }
        Set<String> inService = new HashSet<>();
        Set<String> draining = new HashSet<>();
        boolean entryVmDrained = current.drainedEntryVms().contains(entryVm);
        (entryVmDrained ? draining : inService).add(ENTRY_VM_PREFIX + entryVm);
        for (FailureDomain domain : current.failureDomains()) {
            (domain.takenOut() ? draining : inService).add(FAILURE_DOMAIN_PREFIX + domain.name());
        }
        for (Service service : current.services()) {
            for (Database database : service.databases()) {
                for (BackendServer member : database.members()) {
                    boolean memberDrains =
                            member.leaving() || draining.contains(FAILURE_DOMAIN_PREFIX + member.failureDomain());
                    (memberDrains ? draining : inService).add(MEMBER_PREFIX + member.name());
                }
            }
        }
        synchronized (lock) {
            drainTracker.onConfiguration(inService, draining, System.nanoTime());
            observedConfiguration = current;
        }
        LOGGER.info("configuration version {}: drained or taken out: {}", current.version(), draining);
    }
}
