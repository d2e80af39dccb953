package org.banyanhook.core.rate;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntUnaryOperator;
import org.banyanhook.core.configuration.ClientAccount;
import org.banyanhook.core.configuration.FailureDomain;
import org.banyanhook.core.configuration.FleetConfiguration;

/**
 * Limits the rates of all client accounts at one process, by the allotment and the token buckets of this process.
 *
 * <p>Every method takes the time on this entry VM's monotonic clock and checks the allotment lease against it, so that
 * a process that was paused accrues no tokens for the time after its lease expired. Not safe for use by several
 * threads.
 */
public final class FleetRateLimiter {

    private final String entryVm;
    private final String failureDomain;
    private final AllotmentCoordinator coordinator;
    private final TokenExchange exchange;
    private FleetConfiguration configuration = FleetConfiguration.EMPTY;
    private Map<String, List<String>> runningByDomain = ImmutableMap.of();
    private final Map<Integer, List<String>> peersByGroup = new HashMap<>();
    private List<Integer> appliedUnits = List.of();

    private FleetRateLimiter(Builder builder, long nowNanos) {
        this.entryVm = builder.entryVm;
        this.failureDomain = builder.failureDomain;
        this.coordinator = new AllotmentCoordinator(entryVm, builder.incarnation, builder.timings, nowNanos);
        this.exchange = new TokenExchange(builder.timings, this::peersOf, builder.tokenRequestsPerSecond, nowNanos);
    }

    /**
     * Creates a builder.
     *
     * @param entryVm the name of this entry VM
     * @param failureDomain the failure domain of this entry VM
     * @param incarnation the start time of this process in milliseconds
     * @return a new builder
     */
    public static Builder builder(String entryVm, String failureDomain, long incarnation) {
        return new Builder(entryVm, failureDomain, incarnation);
    }

    /** Returns the coordinator of the allotment. */
    public AllotmentCoordinator allotment() {
        return coordinator;
    }

    /** Applies a configuration unless its version is at most the version in force. */
    public void configure(FleetConfiguration newConfiguration, long nowNanos) {
        if (newConfiguration.version() <= configuration.version()) {
            return;
        }
        accrue(nowNanos);
        configuration = newConfiguration;
        peersByGroup.clear();
        coordinator.setHolderCounts(holderCounts(failureDomain));
        applyLimits(nowNanos);
    }

    /**
     * Sets the running entry VMs of the fleet.
     *
     * @param newRunning the names of the running entry VMs that are not leaving, by failure domain
     */
    public void setRunningEntryVms(Map<String, List<String>> newRunning) {
        if (!newRunning.equals(runningByDomain)) {
            runningByDomain = ImmutableMap.copyOf(newRunning);
            peersByGroup.clear();
        }
    }

    /** Adds a request for one token; see {@link TokenExchange#acquire}. */
    public List<TokenAction> acquire(String account, long requestNumber, long requestDeadlineNanos, long nowNanos) {
        return exchange.acquire(account, requestNumber, requestDeadlineNanos, coordinator.leaseExpiryNanos(), nowNanos);
    }

    /** Handles tokens that a peer lent; see {@link TokenExchange#onTransfer}. */
    public List<TokenAction> onTransfer(long sequence, long micros, long lendableMicros, long nowNanos) {
        return exchange.onTransfer(sequence, micros, lendableMicros, coordinator.leaseExpiryNanos(), nowNanos);
    }

    /** Handles a token request that a peer did not answer. */
    public List<TokenAction> onTokenRequestFailed(long sequence, long nowNanos) {
        return exchange.onTokenRequestFailed(sequence, coordinator.leaseExpiryNanos(), nowNanos);
    }

    /** Lends tokens to a peer; see {@link TokenExchange#lend}. */
    public LendingDecision lend(String account, long micros, String borrower, long nowNanos) {
        boolean borrowerHasPriority = borrower.compareTo(entryVm) < 0;
        return exchange.lend(account, micros, borrowerHasPriority, coordinator.leaseExpiryNanos(), nowNanos);
    }

    /** Advances the time for waiting requests and returns the actions that are due. */
    public List<TokenAction> onTokenTick(long nowNanos) {
        return exchange.onTick(coordinator.leaseExpiryNanos(), nowNanos);
    }

    /** Advances the time for the allotment and returns the requests to send. */
    public List<AllotmentAction> onAllotmentTick(long random, long nowNanos) {
        accrue(nowNanos);
        List<AllotmentAction> actions = coordinator.onTick(running(), random, nowNanos);
        applyLimits(nowNanos);
        return actions;
    }

    /**
     * Handles an event of the allotment: accrues tokens before it and applies the allotted units after it.
     *
     * @param event the call to the coordinator
     * @param nowNanos the time on this entry VM's monotonic clock
     */
    public void onAllotmentEvent(Runnable event, long nowNanos) {
        accrue(nowNanos);
        event.run();
        applyLimits(nowNanos);
    }

    /** Starts to release the whole allotment. */
    public void releaseAllotment(long nowNanos) {
        onAllotmentEvent(() -> coordinator.releaseAll(nowNanos), nowNanos);
    }

    /** Returns the millionths of a token that an account has at this process, as last accrued. */
    public long availableMicros(String account) {
        return exchange.availableMicros(account);
    }

    private Collection<String> running() {
        return runningByDomain.getOrDefault(failureDomain, List.of());
    }

    private void accrue(long nowNanos) {
        exchange.accrueAll(nowNanos, coordinator.leaseExpiryNanos());
    }

    private void applyLimits(long nowNanos) {
        List<Integer> units = new ArrayList<>();
        for (int group = 0; group < AllotmentRecord.GROUP_COUNT; group++) {
            units.add(coordinator.usableUnits(group));
        }
        units.add((int) configuration.version());
        if (units.equals(appliedUnits)) {
            return;
        }
        appliedUnits = units;
        double share = rateShareOf(failureDomain);
        Map<String, AccountLimit> limits = new TreeMap<>();
        for (ClientAccount account : configuration.accounts()) {
            int held = units.get(AllotmentRecord.groupOf(account.name()));
            limits.put(account.name(), AccountLimit.of(account, share, held));
        }
        exchange.setLimits(limits, nowNanos);
    }

    private double rateShareOf(String domain) {
        return configuration.failureDomain(domain).map(FailureDomain::rateShare).orElse(0.0);
    }

    private IntUnaryOperator holderCounts(String domain) {
        double share = rateShareOf(domain);
        int[] counts = new int[AllotmentRecord.GROUP_COUNT];
        Arrays.fill(counts, AllotmentPlanner.MAXIMUM_HOLDERS_PER_GROUP);
        for (ClientAccount account : configuration.accounts()) {
            int group = AllotmentRecord.groupOf(account.name());
            counts[group] = Math.min(counts[group], AllotmentPlanner.holderCount(account.burst() * share));
        }
        return group -> counts[group];
    }

    private List<String> peersOf(String account) {
        return peersByGroup.computeIfAbsent(AllotmentRecord.groupOf(account), this::peersOfGroup);
    }

    private List<String> peersOfGroup(int group) {
        List<String> peers = rotated(AllotmentPlanner.holders(
                group, running(), holderCounts(failureDomain).applyAsInt(group)));
        List<String> others = new ArrayList<>();
        runningByDomain.forEach((domain, names) -> {
            if (!domain.equals(failureDomain)) {
                int count = holderCounts(domain).applyAsInt(group);
                others.addAll(AllotmentPlanner.holders(group, names, count));
            }
        });
        peers.addAll(rotated(others));
        peers.remove(entryVm);
        return peers;
    }

    /**
     * Rotates the list by a hash of this entry VM's name, so that entry VMs do not all send requests to the same peer
     * first.
     */
    private List<String> rotated(List<String> names) {
        List<String> result = new ArrayList<>(names);
        if (!result.isEmpty()) {
            Collections.rotate(result, Math.floorMod(entryVm.hashCode(), result.size()));
        }
        return result;
    }

    /** Builds a {@link FleetRateLimiter}. Not safe for use by several threads. */
    public static final class Builder {
        private static final double DEFAULT_TOKEN_REQUESTS_PER_SECOND = 100;

        private final String entryVm;
        private final String failureDomain;
        private final long incarnation;
        private RateTimings timings = RateTimings.DEFAULT;
        private double tokenRequestsPerSecond = DEFAULT_TOKEN_REQUESTS_PER_SECOND;

        private Builder(String entryVm, String failureDomain, long incarnation) {
            this.entryVm = requireNonNull(entryVm, "entryVm");
            this.failureDomain = requireNonNull(failureDomain, "failureDomain");
            this.incarnation = incarnation;
        }

        /** Sets the durations of the allotment lease and of lent tokens. */
        public Builder timings(RateTimings value) {
            this.timings = requireNonNull(value, "timings");
            return this;
        }

        /** Sets the maximum number of token requests to peers per second. */
        public Builder tokenRequestsPerSecond(double value) {
            this.tokenRequestsPerSecond = value;
            return this;
        }

        /**
         * Creates the rate limiter.
         *
         * @param nowNanos the time on this entry VM's monotonic clock
         * @return the rate limiter, without an allotment
         */
        public FleetRateLimiter build(long nowNanos) {
            return new FleetRateLimiter(this, nowNanos);
        }
    }
}
