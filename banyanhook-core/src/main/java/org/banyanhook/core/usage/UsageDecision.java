package org.banyanhook.core.usage;

import java.util.Collections;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * What the holder of the duty does with the oldest undecided window.
 *
 * @param kind what to do
 * @param counts the counts of the report
 * @param daemonsHeard how many daemons have sent all their counts
 */
public record UsageDecision(Kind kind, SortedMap<String, Long> counts, int daemonsHeard) {

    /**
     * How long a new holder waits for daemons to send it their counts. They learn of it within the delay of a watch,
     * and send every half second.
     */
    private static final long TAKEOVER_WAIT_MILLIS = 2_500;

    /** What to do with a window. */
    public enum Kind {
        /** Wait for further counts. */
        WAIT,
        /** Record and report the counts. */
        REPORT,
        /** Report nothing, since nobody can tell what the counts were. */
        SKIP
    }

    public UsageDecision {
        counts = Collections.unmodifiableSortedMap(new TreeMap<>(counts));
    }

    /**
     * The circumstances of a decision.
     *
     * @param nowMillis the true time
     * @param holderSinceMillis the true time at which this daemon took the duty
     * @param daemons the daemons that run
     * @param decidedBefore whether any window was decided before, so that traffic has begun
     */
    public record Circumstances(long nowMillis, long holderSinceMillis, Set<String> daemons, boolean decidedBefore) {}

    /**
     * Decides on a window.
     *
     * @param window the window
     * @param windows the times of windows
     * @param collection the counts that were received
     * @param circumstances the circumstances
     */
    public static UsageDecision decide(
            long window, UsageWindows windows, UsageCollection collection, Circumstances circumstances) {
        long now = circumstances.nowMillis();
        int total = circumstances.daemons().size();
        int heard = collection.countComplete(window, circumstances.daemons());
        // Right after an outage of the store only a part of the fleet may be listed.
        boolean listed = now >= circumstances.holderSinceMillis() + TAKEOVER_WAIT_MILLIS;
        boolean allHeard = listed && total > 0 && heard == total;
        if (window > windows.settledAt(now) || (!allHeard && now < lastWait(window, windows, circumstances, heard))) {
            return new UsageDecision(Kind.WAIT, new TreeMap<>(), heard);
        }
        SortedMap<String, Long> counts = collection.total(window);
        boolean knownEmpty = allHeard && circumstances.decidedBefore();
        boolean report = now < windows.lastSendMillis(window) && (!counts.isEmpty() || knownEmpty);
        return new UsageDecision(report ? Kind.REPORT : Kind.SKIP, counts, heard);
    }

    private static long lastWait(long window, UsageWindows windows, Circumstances circumstances, int heard) {
        int total = circumstances.daemons().size();
        return Math.max(
                windows.lastWaitMillis(window, total - heard, total),
                circumstances.holderSinceMillis() + TAKEOVER_WAIT_MILLIS);
    }
}
