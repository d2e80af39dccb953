package org.banyanhook.core.usage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * Counts the requests of one daemon by window and client account. A request counts in the window in which it was sent
 * to a member, once it is known that the member did not refuse it, so that counts never fall. Not thread-safe.
 */
public final class UsageCounter {

    private final UsageWindows windows;
    private final TreeMap<Long, WindowCounts> countsByWindow = new TreeMap<>();
    private @Nullable WindowCounts newest;
    private boolean started;
    private long firstWindow;
    private long settledThrough;

    private static final class WindowCounts {
        private final long window;
        private final Map<String, AccountCount> accounts = new HashMap<>();
        private long version = 1;

        private WindowCounts(long window) {
            this.window = window;
        }

        private AccountCount account(String name) {
            AccountCount known = accounts.get(name);
            if (known == null) {
                known = new AccountCount();
                accounts.put(name, known);
            }
            return known;
        }
    }

    private static final class AccountCount {
        private long ran;
        private long unanswered;
    }

    /**
     * Creates a counter that has counted nothing.
     *
     * @param windows the windows
     */
    public UsageCounter(UsageWindows windows) {
        this.windows = windows;
    }

    /**
     * Records that a request is sent to a member.
     *
     * @param trueMillis the true time
     * @param account the client account
     * @return the window, for {@link #recordRan} or {@link #recordRefused}
     */
    public long recordSent(long trueMillis, String account) {
        long window = windows.at(trueMillis);
        if (started && window <= settledThrough) {
            // The estimate of true time has moved back.
            window = settledThrough + 1;
        }
        WindowCounts counts = newest;
        if (counts == null || counts.window != window) {
            counts = countsByWindow.computeIfAbsent(window, WindowCounts::new);
            newest = counts;
        }
        counts.account(account).unanswered++;
        return window;
    }

    /** Records that a request has begun to run, or that this can no longer be found out. */
    public void recordRan(long window, String account) {
        recordEnd(window, account, 1);
    }

    /** Records that a member has refused a request without running it. */
    public void recordRefused(long window, String account) {
        recordEnd(window, account, 0);
    }

    private void recordEnd(long window, String account, int ran) {
        if (started && window <= settledThrough) {
            return;
        }
        WindowCounts counts = newest;
        if (counts == null || counts.window != window) {
            counts = countsByWindow.get(window);
        }
        if (counts != null) {
            AccountCount count = counts.account(account);
            count.unanswered--;
            count.ran += ran;
            counts.version += ran;
        }
    }

    /**
     * Settles the windows that ended a while ago, and removes those that are no longer kept.
     *
     * @param trueMillis the true time
     */
    public void settle(long trueMillis) {
        if (!started) {
            started = true;
            firstWindow = windows.at(trueMillis);
            settledThrough = windows.settledAt(trueMillis);
        }
        settleThrough(windows.settledAt(trueMillis), windows.oldestKeptAt(trueMillis));
    }

    /** Settles all windows up to that of a time, because the daemon ends. */
    public void settleAll(long trueMillis) {
        settle(trueMillis);
        settleThrough(windows.at(trueMillis), windows.oldestKeptAt(trueMillis));
    }

    private void settleThrough(long last, long oldestKept) {
        for (long window = Math.max(settledThrough + 1, oldestKept); window <= last; window++) {
            WindowCounts counts = countsByWindow.computeIfAbsent(window, WindowCounts::new);
            counts.version++;
            counts.accounts.values().forEach(count -> {
                count.ran += count.unanswered;
                count.unanswered = 0;
            });
        }
        settledThrough = Math.max(settledThrough, last);
        countsByWindow.headMap(oldestKept).clear();
    }

    /** Removes the settled windows up to one that is decided, as their counts are not needed any more. */
    public void forgetThrough(long decidedWindow) {
        if (started) {
            countsByWindow
                    .headMap(Math.min(decidedWindow, settledThrough), true)
                    .clear();
        }
    }

    /**
     * Returns the windows that have changed.
     *
     * @param knownVersions the versions that the receiver has, by window
     */
    public List<WindowUsage> changesSince(Map<Long, Long> knownVersions) {
        List<WindowUsage> changes = new ArrayList<>();
        countsByWindow.forEach((window, counts) -> {
            if (knownVersions.getOrDefault(window, 0L) != counts.version) {
                Map<String, Long> ran = new HashMap<>();
                counts.accounts.forEach((account, count) -> {
                    if (count.ran > 0) {
                        ran.put(account, count.ran);
                    }
                });
                boolean complete = started && window >= firstWindow && window <= settledThrough;
                if (complete || !ran.isEmpty()) {
                    changes.add(new WindowUsage(window, ran, complete, counts.version));
                }
            }
        });
        return changes;
    }
}
