package org.banyanhook.core.usage;

/**
 * The windows of true time in which requests are counted, and the times at which something is due for them. All times
 * are milliseconds of true time since the start of 1970.
 */
public final class UsageWindows {

    /**
     * How long after its end a window is settled: requests without an answer count as run from then on. Members refuse
     * within one round trip, which is far shorter.
     */
    private static final long SETTLE_MILLIS = 600;

    /** How long counts are kept after the end of their window, for a daemon that takes over the duty. */
    private static final long RETENTION_MILLIS = 30_000;

    /** The part of the time to the due time that is waited for few missing daemons, whose counts hardly matter. */
    private static final double SHORT_WAIT = 0.3;

    /** The part of the time to the due time that is waited for many missing daemons. */
    private static final double LONG_WAIT = 0.6;

    private final UsageSettings settings;

    /**
     * Creates the windows.
     *
     * @param settings the length of a window and the time until its report is due
     */
    public UsageWindows(UsageSettings settings) {
        this.settings = settings;
    }

    /** Returns the window that contains a time. */
    public long at(long trueMillis) {
        return Math.floorDiv(trueMillis, settings.windowMillis());
    }

    /** Returns the end of a window. */
    public long endMillis(long window) {
        return (window + 1) * settings.windowMillis();
    }

    /** Returns the newest window that is settled at a time. */
    public long settledAt(long trueMillis) {
        return at(trueMillis - SETTLE_MILLIS) - 1;
    }

    /** Returns the oldest window whose counts are still kept at a time. */
    public long oldestKeptAt(long trueMillis) {
        return at(trueMillis - RETENTION_MILLIS);
    }

    /** Returns the time until which a report is sent again. A later one would only hold up those that are not late. */
    public long lastSendMillis(long window) {
        return endMillis(window) + settings.lateMillis() + settings.windowMillis();
    }

    /**
     * Returns the time until which the counts of missing daemons are awaited.
     *
     * @param window the window
     * @param missing how many daemons have not sent all their counts
     * @param total how many daemons there are
     */
    public long lastWaitMillis(long window, int missing, int total) {
        // Half of the tolerance is left for errors of time.
        boolean few = missing <= total * settings.tolerance() / 2;
        return endMillis(window) + Math.round(settings.lateMillis() * (few ? SHORT_WAIT : LONG_WAIT));
    }
}
