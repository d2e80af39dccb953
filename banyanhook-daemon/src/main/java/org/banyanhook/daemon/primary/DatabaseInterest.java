package org.banyanhook.daemon.primary;

import java.time.Duration;

/** When request threads last needed a database, and how fresh. Safe for use by several threads. */
final class DatabaseInterest {

    private static final long NEVER_MILLIS = Long.MAX_VALUE;

    private volatile long lastUseNanos;
    private volatile long lastReplicaReadNanos;
    private volatile long maximumAgeMillis = NEVER_MILLIS;

    DatabaseInterest(long nowNanos) {
        this.lastUseNanos = nowNanos;
        this.lastReplicaReadNanos = nowNanos;
    }

    void use(long nowNanos) {
        lastUseNanos = nowNanos;
    }

    void replicaRead(long nowNanos, long ageMillis) {
        lastUseNanos = nowNanos;
        lastReplicaReadNanos = nowNanos;
        maximumAgeMillis = Math.min(maximumAgeMillis, ageMillis);
    }

    boolean isUsed(long nowNanos, Duration window) {
        return nowNanos - lastUseNanos < window.toNanos();
    }

    boolean hasReplicaReads(long nowNanos, Duration window) {
        boolean recent = nowNanos - lastReplicaReadNanos < window.toNanos();
        if (!recent) {
            maximumAgeMillis = NEVER_MILLIS;
        }
        return recent && maximumAgeMillis != NEVER_MILLIS;
    }

    long maximumAgeMillis() {
        return maximumAgeMillis;
    }
}
