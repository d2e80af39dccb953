package org.banyanhook.daemon.configuration;

import java.util.concurrent.TimeUnit;

/**
 * Remembers when withdrawals made elsewhere last could have reached this entry VM. Safe for use by several threads.
 *
 * <p>It runs on the monotonic clock, so a process that was paused finds that its contact is old. One that just started
 * has had none.
 */
final class ContactTracker {

    private static final long INITIAL_CONTACT_AGE_NANOS = TimeUnit.MINUTES.toNanos(1);

    private volatile long lastContactNanos = System.nanoTime() - INITIAL_CONTACT_AGE_NANOS;

    void recordContact() {
        lastContactNanos = System.nanoTime();
    }

    long millisSinceContact() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - lastContactNanos);
    }
}
