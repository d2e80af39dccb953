package org.banyanhook.core.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Chooses the news that goes with each message, every piece a bounded number of times. Not safe for several threads.
 */
final class MembershipUpdateQueue {

    private static final int TRANSMISSIONS_PER_DOUBLING = 3;

    private final Map<String, Integer> remaining = new HashMap<>();

    /** Queues news about a member in place of older news about it. */
    void add(String name, int fleetSize) {
        int doublings = Integer.SIZE - Integer.numberOfLeadingZeros(fleetSize) + 1;
        remaining.put(name, TRANSMISSIONS_PER_DOUBLING * doublings);
    }

    /** Takes up to a number of names, those sent the least first. */
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
