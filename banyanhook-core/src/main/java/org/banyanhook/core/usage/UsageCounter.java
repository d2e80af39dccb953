package org.banyanhook.core.usage;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * Counts the requests of one daemon by window and client account. A request counts in the window in which it was sent
 * to a member, once it is known that the member did not refuse it, so that counts never fall. Not thread-safe.
 */
public final class UsageCounter {

    /**
     * How long a settled window is kept at least by the monotonic clock, since a wrong estimate of true time may settle
     * open windows and make them seem old. A bit less than windows are kept by true time.
     */
    private static final long KEPT_AFTER_SETTLING_MILLIS = 25_000;

    private final UsageWindows windows;
    private final TreeMap<Long, WindowCounts> countsByWindow = new TreeMap<>();
    private @Nullable WindowCounts newest;
    private boolean started;
    private long firstWindow;
    private long settledThrough;
    private long offsetMillis;

    private static final class WindowCounts {
        private final long window;
        private final Map<String, AccountCount> accounts = new HashMap<>();
        private long version = 1;
        private boolean settled;
        private long settledSteadyMillis;

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

        private void settle(long steadyMillis) {
            settled = true;
            settledSteadyMillis = steadyMillis;
            version++;
            accounts.values().forEach(count -> {
                count.ran += count.unanswered;
                count.unanswered = 0;
            });
        }

        private void add(WindowCounts other) {
            version++;
            other.accounts.forEach((name, count) -> {
                AccountCount sum = account(name);
                sum.ran += count.ran;
                sum.unanswered += count.unanswered;
            });
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
            // A request of a window that was reopened may have been counted when the window was settled.
            if (count.unanswered > 0) {
                count.unanswered--;
                count.ran += ran;
                counts.version += ran;
            }
        }
    }

    /**
     * Settles the windows that ended a while ago, and removes those that are no longer kept. If the estimate of true
     * time has moved back so far that an open window is settled, this is taken back.
     *
     * @param trueMillis the true time
     * @param steadyMillis the time of the monotonic clock
     */
    public void settle(long trueMillis, long steadyMillis) {
        long aheadMillis = offsetMillis - (trueMillis - steadyMillis);
        offsetMillis = trueMillis - steadyMillis;
        if (!started) {
            started = true;
            firstWindow = windows.at(trueMillis);
            settledThrough = windows.settledAt(trueMillis);
        } else if (settledThrough >= windows.at(trueMillis)) {
            reopen(trueMillis, aheadMillis);
        }
        settleThrough(windows.settledAt(trueMillis), trueMillis, steadyMillis);
    }

    /**
     * Settles all windows up to that of a time, because the daemon ends.
     *
     * @param trueMillis the true time
     * @param steadyMillis the time of the monotonic clock
     */
    public void settleAll(long trueMillis, long steadyMillis) {
        settle(trueMillis, steadyMillis);
        settleThrough(windows.at(trueMillis), trueMillis, steadyMillis);
    }

    private void settleThrough(long last, long trueMillis, long steadyMillis) {
        long oldestKept = windows.oldestKeptAt(trueMillis);
        for (long window = Math.max(settledThrough + 1, oldestKept); window <= last; window++) {
            countsByWindow.computeIfAbsent(window, WindowCounts::new);
        }
        settledThrough = Math.max(settledThrough, last);
        countsByWindow.headMap(settledThrough, true).values().stream()
                .filter(counts -> !counts.settled)
                .forEach(counts -> counts.settle(steadyMillis));
        countsByWindow
                .headMap(oldestKept)
                .values()
                .removeIf(counts -> steadyMillis - counts.settledSteadyMillis >= KEPT_AFTER_SETTLING_MILLIS);
    }

    /** Takes back that open windows are settled, and moves what was counted in windows that have not begun. */
    private void reopen(long trueMillis, long aheadMillis) {
        long current = windows.at(trueMillis);
        settledThrough = windows.settledAt(trueMillis);
        // A daemon that started with the wrong estimate has counted a part of the current window only.
        firstWindow = Math.min(firstWindow, current + 1);
        newest = null;
        SortedMap<Long, WindowCounts> notBegun = countsByWindow.tailMap(current, false);
        List<WindowCounts> moved = List.copyOf(notBegun.values());
        notBegun.clear();
        for (WindowCounts counts : moved) {
            if (!counts.accounts.isEmpty()) {
                long window = windows.at(windows.endMillis(counts.window) - 1 - aheadMillis);
                long target = Math.max(settledThrough + 1, Math.min(window, current));
                countsByWindow.computeIfAbsent(target, WindowCounts::new).add(counts);
            }
        }
        countsByWindow.tailMap(settledThrough, false).values().forEach(counts -> counts.settled = false);
    }

    /** Returns the windows whose counts are kept. */
    public Set<Long> windows() {
        return Collections.unmodifiableSet(countsByWindow.keySet());
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
