package org.banyanhook.core.usage;

import java.util.Collections;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The decided reports that the platform may not have accepted yet. They are sent one at a time in the order of their
 * windows, and repeated until they are accepted or far too late. Not thread-safe.
 */
public final class UsageReportSchedule {

    private static final long FIRST_RETRY_MILLIS = 150;

    /** Short against the time between decision and due time. */
    private static final long MAXIMUM_RETRY_MILLIS = 1_000;

    private static final long MILLIS_PER_SECOND = 1_000;

    private final UsageWindows windows;
    private final long callsPerSecond;
    private final TreeMap<Long, SortedMap<String, Long>> pending = new TreeMap<>();
    private long sentThrough = Long.MIN_VALUE;
    private long nextSendMillis = Long.MIN_VALUE;
    private long retryMillis = FIRST_RETRY_MILLIS;
    private long secondStartMillis = Long.MIN_VALUE / 2;
    private long callsInSecond;
    private boolean calling;

    /**
     * A report.
     *
     * @param window the window
     * @param counts the number of requests, by client account
     */
    public record Report(long window, SortedMap<String, Long> counts) {
        public Report {
            counts = Collections.unmodifiableSortedMap(new TreeMap<>(counts));
        }
    }

    /**
     * Creates an empty schedule.
     *
     * @param windows the times of windows
     * @param settings the number of calls that are permitted in a second
     */
    public UsageReportSchedule(UsageWindows windows, UsageSettings settings) {
        this.windows = windows;
        // Half of the permitted rate, so that a former holder's calls find room.
        this.callsPerSecond = Math.max(1, Math.round(settings.reportsPerSecond() / 2));
    }

    /** Adds a report whose counts are decided, unless it was accepted or is being sent. */
    public void add(Report report) {
        if (report.window() > sentThrough && !isBeingSent(report.window())) {
            pending.put(report.window(), report.counts());
        }
    }

    /** Drops the pending reports of all windows but the given ones, except the one that is being sent. */
    public void retain(Set<Long> windowsToKeep) {
        pending.keySet().removeIf(window -> !windowsToKeep.contains(window) && !isBeingSent(window));
    }

    private boolean isBeingSent(long window) {
        return calling && !pending.isEmpty() && pending.firstKey() == window;
    }

    /**
     * Returns the report to send now, which is considered to be in progress until {@link #onAccepted},
     * {@link #onRejected} or {@link #onFailed}.
     *
     * @param trueMillis the true time
     * @param steadyMillis the monotonic time
     */
    public Optional<Report> startNext(long trueMillis, long steadyMillis) {
        while (!calling && !pending.isEmpty() && trueMillis >= windows.lastSendMillis(pending.firstKey())) {
            finish(pending.firstKey());
        }
        if (calling || pending.isEmpty() || steadyMillis < nextSendMillis || !takeCall(steadyMillis)) {
            return Optional.empty();
        }
        calling = true;
        return Optional.of(new Report(pending.firstKey(), pending.firstEntry().getValue()));
    }

    private boolean takeCall(long steadyMillis) {
        if (steadyMillis - secondStartMillis >= MILLIS_PER_SECOND) {
            secondStartMillis = steadyMillis;
            callsInSecond = 0;
        }
        if (callsInSecond >= callsPerSecond) {
            return false;
        }
        callsInSecond++;
        return true;
    }

    /** Records that a report was accepted. */
    public void onAccepted(long window) {
        finishCall(window);
    }

    /** Records that a report was rejected for good, so that repeating it is useless. */
    public void onRejected(long window) {
        finishCall(window);
    }

    private void finishCall(long window) {
        calling = false;
        retryMillis = FIRST_RETRY_MILLIS;
        finish(window);
    }

    private void finish(long window) {
        pending.remove(window);
        sentThrough = Math.max(sentThrough, window);
    }

    /**
     * Records that a report has to be sent again.
     *
     * @param steadyMillis the monotonic time
     * @param draw a random number from 0 to 1, which spreads the repetitions
     */
    public void onFailed(long steadyMillis, double draw) {
        calling = false;
        nextSendMillis = steadyMillis + Math.round(retryMillis * (0.5 + draw));
        retryMillis = Math.min(MAXIMUM_RETRY_MILLIS, 2 * retryMillis);
    }

    /** Returns whether a report of a window is to be sent or in progress. */
    public boolean isPending(long window) {
        return pending.containsKey(window);
    }

    /** Returns how many reports are pending. */
    public int size() {
        return pending.size();
    }
}
