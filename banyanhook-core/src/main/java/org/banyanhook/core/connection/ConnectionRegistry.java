package org.banyanhook.core.connection;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkState;
import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Predicate;

/**
 * Tracks the connections to one backend server: which are leased, which are idle, and when each last answered.
 *
 * <p>A request that times out may mean that a device between the two ends has dropped the state of its connection, and
 * of other connections as well. Idle connections whose last answer is older than the unanswered request are therefore
 * suspect: they are never leased again, and are retired as soon as an answer on any connection shows that the server
 * works. A new connection counts as having answered when it was added. Not safe for use by several threads.
 */
public final class ConnectionRegistry {

    private final Map<Long, Entry> entries = new HashMap<>();
    private long suspectBeforeNanos = Long.MIN_VALUE;

    /** Returns the number of connections that are open or being opened. */
    public int size() {
        return entries.size();
    }

    /** Returns the number of idle connections. */
    public int idleCount() {
        return (int) entries.values().stream().filter(entry -> !entry.leased).count();
    }

    /**
     * Adds a leased connection that is about to be opened.
     *
     * @param id the id of the connection, never used before
     * @param nowNanos the time in nanoseconds
     */
    public void add(long id, long nowNanos) {
        checkArgument(!entries.containsKey(id), "connection %s is already registered", id);
        entries.put(id, new Entry(nowNanos));
    }

    /**
     * Leases the idle connection that answered last.
     *
     * @param nowNanos the time in nanoseconds
     * @param maximumIdleNanos the maximum time since its last answer
     * @return the id of the connection, or empty if a new one has to be opened
     */
    public OptionalLong lease(long nowNanos, long maximumIdleNanos) {
        OptionalLong latest = OptionalLong.empty();
        long latestAnswerNanos = nowNanos - maximumIdleNanos;
        for (Map.Entry<Long, Entry> candidate : entries.entrySet()) {
            Entry entry = candidate.getValue();
            if (entry.leased || isSuspect(entry) || entry.lastAnswerNanos < latestAnswerNanos) {
                continue;
            }
            latest = OptionalLong.of(candidate.getKey());
            latestAnswerNanos = entry.lastAnswerNanos;
        }
        latest.ifPresent(id -> entry(id).leased = true);
        return latest;
    }

    /**
     * Releases a leased connection.
     *
     * @param id the id of the connection
     * @return true if the connection may be leased again; false if it is suspect and has to be closed
     */
    public boolean release(long id) {
        Entry entry = entry(id);
        checkState(entry.leased, "connection %s is not leased and cannot be released", id);
        entry.leased = false;
        if (isSuspect(entry)) {
            entries.remove(id);
            return false;
        }
        return true;
    }

    /**
     * Records that a connection answered.
     *
     * @param id the id of the connection
     * @param sentNanos when the answered request was sent
     * @param nowNanos when the answer was received
     * @return the idle connections to close at once, because this one works while a request on another timed out
     */
    public List<Long> onAnswer(long id, long sentNanos, long nowNanos) {
        entry(id).lastAnswerNanos = nowNanos;
        return sentNanos >= suspectBeforeNanos ? retireSuspects() : ImmutableList.of();
    }

    /**
     * Records that a request timed out. The connection is removed and has to be closed.
     *
     * @param id the id of the connection
     * @param sentNanos when the unanswered request was sent
     * @return the idle connections to close at once, because another connection answered after the request was sent
     */
    public List<Long> onTimeout(long id, long sentNanos) {
        checkState(entries.remove(id) != null, "connection %s is not registered", id);
        suspectBeforeNanos = Math.max(suspectBeforeNanos, sentNanos);
        boolean serverAnswers = entries.values().stream().anyMatch(entry -> entry.lastAnswerNanos > sentNanos);
        return serverAnswers ? retireSuspects() : ImmutableList.of();
    }

    /**
     * Removes a connection that was closed. Does nothing if it is not registered.
     *
     * @param id the id of the connection
     */
    public void remove(long id) {
        entries.remove(id);
    }

    /**
     * Retires the idle connections that cannot be leased because they are suspect or idle for too long, to free
     * capacity for new ones.
     *
     * @param nowNanos the time in nanoseconds
     * @param maximumIdleNanos the maximum time since the last answer
     * @return the idle connections to close
     */
    public List<Long> retireUnusable(long nowNanos, long maximumIdleNanos) {
        return retire(entry -> isSuspect(entry) || entry.lastAnswerNanos < nowNanos - maximumIdleNanos);
    }

    private List<Long> retireSuspects() {
        return retire(this::isSuspect);
    }

    private List<Long> retire(Predicate<Entry> condition) {
        List<Long> retired = new ArrayList<>();
        for (Map.Entry<Long, Entry> candidate : entries.entrySet()) {
            if (!candidate.getValue().leased && condition.test(candidate.getValue())) {
                retired.add(candidate.getKey());
            }
        }
        retired.forEach(entries::remove);
        return ImmutableList.copyOf(retired);
    }

    private boolean isSuspect(Entry entry) {
        return entry.lastAnswerNanos < suspectBeforeNanos;
    }

    private Entry entry(long id) {
        Entry entry = entries.get(id);
        checkState(entry != null, "connection %s is not registered", id);
        return requireNonNull(entry);
    }

    private static final class Entry {
        private boolean leased = true;
        private long lastAnswerNanos;

        Entry(long lastAnswerNanos) {
            this.lastAnswerNanos = lastAnswerNanos;
        }
    }
}
