package org.banyanhook.gateway.usage;

import org.banyanhook.core.usage.TrueTimeEstimate;
import org.banyanhook.core.usage.UsageCounter;
import org.banyanhook.gateway.operation.MonotonicClock;

/** Counts requests in the windows of estimated true time. Used on the event loop only. */
final class CountingUsageMeter implements UsageMeter {

    private final UsageCounter counter;
    private final TrueTimeEstimate trueTime;
    private final MonotonicClock clock;

    CountingUsageMeter(UsageCounter counter, TrueTimeEstimate trueTime, MonotonicClock clock) {
        this.counter = counter;
        this.trueTime = trueTime;
        this.clock = clock;
    }

    @Override
    public long recordSent(String account) {
        return counter.recordSent(trueTime.trueMillis(clock.nowNanos()), account);
    }

    @Override
    public void recordRan(long window, String account) {
        counter.recordRan(window, account);
    }

    @Override
    public void recordRefused(long window, String account) {
        counter.recordRefused(window, account);
    }
}
