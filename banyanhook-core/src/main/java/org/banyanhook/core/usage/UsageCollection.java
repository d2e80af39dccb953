package org.banyanhook.core.usage;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The counts that the holder of the duty has received. Messages may be lost, repeated, delayed or reordered: of each
 * run of a daemon the highest count applies. Not thread-safe.
 */
public final class UsageCollection {

    private final Map<Long, Map<Sender, Received>> receivedByWindow = new HashMap<>();
    private long forgottenThrough = Long.MIN_VALUE;

    private record Sender(String daemon, long incarnation) {}

    private static final class Received {
        private final Map<String, Long> counts = new HashMap<>();
        private boolean complete;
    }

    /**
     * Adds the counts of a daemon.
     *
     * @param daemon the daemon
     * @param incarnation the run of the daemon, whose counts started at 0
     * @param usage the counts
     */
    public void add(String daemon, long incarnation, WindowUsage usage) {
        if (usage.window() <= forgottenThrough) {
            return;
        }
        Received received = receivedByWindow
                .computeIfAbsent(usage.window(), window -> new HashMap<>())
                .computeIfAbsent(new Sender(daemon, incarnation), sender -> new Received());
        usage.counts().forEach((account, count) -> received.counts.merge(account, count, Math::max));
        received.complete |= usage.complete();
    }

    /** Returns the requests that all daemons together counted in a window, by client account. */
    public SortedMap<String, Long> total(long window) {
        SortedMap<String, Long> total = new TreeMap<>();
        receivedByWindow
                .getOrDefault(window, Map.of())
                .values()
                .forEach(received ->
                        received.counts.forEach((account, count) -> total.merge(account, count, Long::sum)));
        return total;
    }

    /** Returns how many of the daemons have sent all their counts of a window. */
    public int countComplete(long window, Set<String> daemons) {
        return (int) receivedByWindow.getOrDefault(window, Map.of()).entrySet().stream()
                .filter(entry -> entry.getValue().complete)
                .map(entry -> entry.getKey().daemon())
                .filter(daemons::contains)
                .distinct()
                .count();
    }

    /** Removes the counts up to a window, and ignores such counts from now on. */
    public void forgetThrough(long window) {
        if (window > forgottenThrough) {
            forgottenThrough = window;
            receivedByWindow.keySet().removeIf(known -> known <= window);
        }
    }
}
