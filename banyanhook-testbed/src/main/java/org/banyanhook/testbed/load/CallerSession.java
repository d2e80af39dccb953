package org.banyanhook.testbed.load;

import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;

/**
 * A session of a caller that counts up one key and reads it. Safe for use by several threads.
 *
 * <p>The key only grows, so a read that returns less than an acknowledged write of the session is stale.
 */
final class CallerSession {

    private final String key;
    private final String database;
    private final AtomicLong writes = new AtomicLong();
    private volatile Seen seen = new Seen(null, 0);

    /** The last session value with the count that it was acknowledged with. */
    record Seen(@Nullable String session, long count) {}

    CallerSession(String key, String database) {
        this.key = key;
        this.database = database;
    }

    String database() {
        return database;
    }

    String key() {
        return key;
    }

    Seen seen() {
        return seen;
    }

    String nextIdempotencyKey() {
        return key + "-" + writes.incrementAndGet();
    }

    synchronized void acknowledge(@Nullable String session, long count) {
        if (session != null && count >= seen.count()) {
            seen = new Seen(session, count);
        }
    }
}
