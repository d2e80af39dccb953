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
 * Keeps account of the connections to one backend server: which are leased, which are idle, and when each last proved
 * that it works.
 *
 * <p>A connection that does not answer is silent. Something between the two ends may have lost track of others as well,
 * so idle connections whose last proof of life is older than the silent request are suspects: they are never leased
 * again, and are retired at once when any connection proves later that the server works. Not safe for use by several
 * threads.
 */
public final class ConnectionRegistry {

    private final Map<Long, Entry> entries = new HashMap<>();
    private long suspectBeforeNanos = Long.MIN_VALUE;

    /** Returns how many connections are open or being opened. */
    public int size() {
        return entries.size();
    }

    /** Returns how many connections are idle. */
    public int idleCount() {
        return (int) entries.values().stream().filter(entry -> !entry.leased).count();
    }

    /**
     * Adds a leased connection that is about to be opened.
     *
     * @param id its id, never used before
     * @param nowNanos the time in nanoseconds
     */
    public void add(long id, long nowNanos) {
        checkArgument(!entries.containsKey(id), "connection %s is in the ledger already", id);
        entries.put(id, new Entry(nowNanos));
    }

    /**
     * Leases the idle connection that proved last that it works.
     *
     * @param nowNanos the time in nanoseconds
     * @param maximumIdleNanos how long ago its last proof of life may be
     * @return its id, or empty if a new connection has to be opened
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
     * Takes back a leased connection.
     *
     * @param id its id
     * @return true if it may be leased again; false if it is suspect and has to be closed
     */
    public boolean release(long id) {
        Entry entry = entry(id);
        checkState(entry.leased, "connection %s was given back twice", id);
        entry.leased = false;
        if (isSuspect(entry)) {
            entries.remove(id);
            return false;
        }
        return true;
    }

    /**
     * Notes that a connection answered.
     *
     * @param id its id
     * @param sentNanos when the answered request was sent
     * @param nowNanos the time of the answer
     * @return idle connections to close at once, because this one works while an older one is silent
     */
    public List<Long> onAnswer(long id, long sentNanos, long nowNanos) {
        entry(id).lastAnswerNanos = nowNanos;
        return sentNanos >= suspectBeforeNanos ? retireSuspects() : ImmutableList.of();
    }

    /**
     * Notes that a request got no answer in time. The connection leaves the ledger and has to be closed.
     *
     * @param id its id
     * @param sentNanos when the unanswered request was sent
     * @return idle connections to close at once, because another connection answered since the request was sent
     */
    public List<Long> onTimeout(long id, long sentNanos) {
        checkState(entries.remove(id) != null, "connection %s is not in the ledger", id);
        suspectBeforeNanos = Math.max(suspectBeforeNanos, sentNanos);
        boolean serverAnswers = entries.values().stream().anyMatch(entry -> entry.lastAnswerNanos > sentNanos);
        return serverAnswers ? retireSuspects() : ImmutableList.of();
    }

    /**
     * Removes a connection that was closed. Nothing happens if it is not in the ledger.
     *
     * @param id its id
     */
    public void remove(long id) {
        entries.remove(id);
    }

    /**
     * Retires an idle connection that may not be leased again for its age or suspicion, to make room for a new one.
     *
     * @param nowNanos the time in nanoseconds
     * @param maximumIdleNanos how long ago the last proof of life may be
     * @return idle connections to close
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
        checkState(entry != null, "connection %s is not in the ledger", id);
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
