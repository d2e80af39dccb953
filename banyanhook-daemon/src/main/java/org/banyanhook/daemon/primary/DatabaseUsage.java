package org.banyanhook.daemon.primary;

import java.time.Duration;

/**
 * Records when request threads last used a database, and the lowest maximum age of their replica reads. Thread-safe.
 */
final class DatabaseUsage {

    private static final long NO_AGE_LIMIT_MILLIS = Long.MAX_VALUE;

    private volatile long lastUseNanos;
    private volatile long lastReplicaReadNanos;
    private volatile long lowestMaximumAgeMillis = NO_AGE_LIMIT_MILLIS;

    DatabaseUsage(long nowNanos) {
        this.lastUseNanos = nowNanos;
        this.lastReplicaReadNanos = nowNanos;
    }

    void recordUse(long nowNanos) {
        lastUseNanos = nowNanos;
    }

    void recordReplicaRead(long nowNanos, long maximumAgeMillis) {
        lastUseNanos = nowNanos;
        lastReplicaReadNanos = nowNanos;
        lowestMaximumAgeMillis = Math.min(lowestMaximumAgeMillis, maximumAgeMillis);
    }

    boolean isUsed(long nowNanos, Duration window) {
        return nowNanos - lastUseNanos < window.toNanos();
    }

    boolean hasReplicaReads(long nowNanos, Duration window) {
        boolean recent = nowNanos - lastReplicaReadNanos < window.toNanos();
        if (!recent) {
            lowestMaximumAgeMillis = NO_AGE_LIMIT_MILLIS;
        }
        return recent && lowestMaximumAgeMillis != NO_AGE_LIMIT_MILLIS;
    }

    long lowestMaximumAgeMillis() {
        return lowestMaximumAgeMillis;
    }
}
