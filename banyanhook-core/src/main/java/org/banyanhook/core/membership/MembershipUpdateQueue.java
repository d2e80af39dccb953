package org.banyanhook.core.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Selects the membership updates to piggyback on each message. Each update is sent a bounded number of times, which
 * grows with the logarithm of the fleet size. Not safe for use by several threads.
 */
final class MembershipUpdateQueue {

    private static final int TRANSMISSIONS_PER_DOUBLING = 3;

    private final Map<String, Integer> remaining = new HashMap<>();

    /** Queues an update of a member. Replaces an older update of the same member. */
    void add(String name, int fleetSize) {
        int doublings = Integer.SIZE - Integer.numberOfLeadingZeros(fleetSize) + 1;
        remaining.put(name, TRANSMISSIONS_PER_DOUBLING * doublings);
    }

    /** Returns the names of up to {@code limit} members, those with the most transmissions left first. */
    List<String> take(int limit) {
        List<String> chosen = remaining.entrySet().stream()
                .sorted(Map.Entry.<String, Integer>comparingByValue(Comparator.reverseOrder())
                        .thenComparing(Map.Entry.comparingByKey()))
                .limit(limit)
                .map(Map.Entry::getKey)
                .toList();
        for (String name : chosen) {
            remaining.computeIfPresent(name, (key, count) -> count > 1 ? count - 1 : null);
        }
        return new ArrayList<>(chosen);
    }

    void remove(String name) {
        remaining.remove(name);
    }
}
