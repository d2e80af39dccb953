package org.banyanhook.daemon.configuration;

import java.util.concurrent.TimeUnit;

/**
 * Records the time of the last contact through which key withdrawals made on other entry VMs could have reached this
 * one. Safe for use by several threads.
 *
 * <p>Uses the monotonic clock, so the last contact of a process that was suspended is old. A process that has just
 * started has had no contact.
 */
final class ContactTracker {

    /** Age of the last contact at the start of the process; long enough to count as no contact. */
    private static final long INITIAL_CONTACT_AGE_NANOS = TimeUnit.MINUTES.toNanos(1);

    private volatile long lastContactNanos = System.nanoTime() - INITIAL_CONTACT_AGE_NANOS;

    void recordContact() {
        lastContactNanos = System.nanoTime();
    }

    long millisSinceContact() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - lastContactNanos);
    }
}
