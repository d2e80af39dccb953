package org.banyanhook.core.routing;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Remembers since when machines or failure domains are to get no new work.
 *
 * <p>A departure that was seen to begin leaves a grace for the planned move; one that had begun before it could be seen
 * leaves none. Not safe for use by several threads.
 */
public final class DrainTracker {

    private final Set<String> observedInService = new HashSet<>();
    private final Map<String, Drain> drains = new HashMap<>();

    private record Drain(boolean startObserved, long firstObservedNanos) {}

    /**
     * Takes in what the configuration in force says.
     *
     * @param inService the names that take new work
     * @param draining the names that are to get no new work
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
     * Tells whether something may still get new work.
     *
     * @param name its name
     * @param gracePeriodNanos how long after the begin of its departure it may
     * @param nowNanos the time in nanoseconds
     * @return true if it is not departing, or within the grace of a departure that was seen to begin
     */
    public boolean acceptsRequests(String name, long gracePeriodNanos, long nowNanos) {
        Drain drain = drains.get(name);
        return drain == null || (drain.startObserved() && nowNanos - drain.firstObservedNanos() < gracePeriodNanos);
    }
}
