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
public final class DepartureLedger {

    private final Set<String> seenInService = new HashSet<>();
    private final Map<String, Departure> departures = new HashMap<>();

    private record Departure(boolean seenToBegin, long sinceNanos) {}

    /**
     * Takes in what the configuration in force says.
     *
     * @param inService the names that take new work
     * @param departing the names that are to get no new work
     * @param nowNanos the time in nanoseconds
     */
    public void observe(Collection<String> inService, Collection<String> departing, long nowNanos) {
        departures.keySet().removeAll(inService);
        seenInService.addAll(inService);
        for (String name : departing) {
            departures.putIfAbsent(name, new Departure(seenInService.contains(name), nowNanos));
        }
    }

    /**
     * Tells whether something may still get new work.
     *
     * @param name its name
     * @param graceNanos how long after the begin of its departure it may
     * @param nowNanos the time in nanoseconds
     * @return true if it is not departing, or within the grace of a departure that was seen to begin
     */
    public boolean takesWork(String name, long graceNanos, long nowNanos) {
        Departure departure = departures.get(name);
        return departure == null || (departure.seenToBegin() && nowNanos - departure.sinceNanos() < graceNanos);
    }
}
