package org.banyanhook.core.routing;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Tracks which machines or failure domains are draining, and since when.
 *
 * <p>A drain whose start was observed allows a grace period, for example for a planned move of the primary. A drain
 * that had started before the first observation allows none. Not safe for use by several threads.
 */
public final class DrainTracker {

    private final Set<String> observedInService = new HashSet<>();
    private final Map<String, Drain> drains = new HashMap<>();

    private record Drain(boolean startObserved, long firstObservedNanos) {}

    /**
     * Handles the configuration in force.
     *
     * @param inService the names that accept new requests
     * @param draining the names that are draining
     * @param nowNanos the time in nanoseconds
     */
    public void onConfiguration(Collection<String> inService, Collection<String> draining, long nowNanos) {
        drains.keySet().removeAll(inService);
        observedInService.addAll(inService);
        for (String name : draining) {
            drains.putIfAbsent(name, new Drain(observedInService.contains(name), nowNanos));
        }
    }

    /**
     * Returns whether a machine or failure domain still accepts new requests.
     *
     * @param name the name of the machine or failure domain
     * @param gracePeriodNanos how long after the start of a drain new requests are accepted
     * @param nowNanos the time in nanoseconds
     * @return true if it is not draining, or within the grace period of a drain whose start was observed
     */
    public boolean acceptsRequests(String name, long gracePeriodNanos, long nowNanos) {
        Drain drain = drains.get(name);
        return drain == null || (drain.startObserved() && nowNanos - drain.firstObservedNanos() < gracePeriodNanos);
    }
}
