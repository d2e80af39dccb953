package org.banyanhook.core.rate;

import java.util.HashMap;
import java.util.Map;

/**
 * The peers that left a token request of any account unanswered, and until when others are asked before them. Not safe
 * for use by several threads.
 *
 * <p>Load pattern: a part of the fleet is cut off. Every request would otherwise wait for the nearest holder first, and
 * for most of its time.
 */
final class UnansweredPeers {

    private static final long MINIMUM_NANOS = 500_000_000L;
    private static final long MAXIMUM_NANOS = 4_000_000_000L;

    private final Map<String, Entry> peers = new HashMap<>();

    private record Entry(long untilNanos, long lengthNanos) {}

    /** Records that a peer has not answered in time; the time doubles if it did not answer before either. */
    void add(String peer, long nowNanos) {
        Entry previous = peers.get(peer);
        long lengthNanos = previous == null ? MINIMUM_NANOS : Math.min(MAXIMUM_NANOS, previous.lengthNanos() * 2);
        if (previous == null || nowNanos - previous.untilNanos() >= 0) {
            peers.put(peer, new Entry(nowNanos + lengthNanos, lengthNanos));
        }
    }

    /** Records that a peer has answered. */
    void remove(String peer) {
        peers.remove(peer);
    }

    /** Returns whether other peers are to be asked first. */
    boolean contains(String peer, long nowNanos) {
        Entry entry = peers.get(peer);
        return entry != null && nowNanos - entry.untilNanos() < 0;
    }
}
