package org.banyanhook.core.rate;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The waiting requests of one client account at one entry VM, its bucket, and what is known of its peers' buckets. */
final class AccountTokenState {

    private static final long MINIMUM_PAUSE_NANOS = 50_000_000;
    private static final long MAXIMUM_PAUSE_NANOS = 800_000_000;
    private static final long HINT_NANOS = 500_000_000;
    private static final long MINIMUM_PART_MICROS = Tokens.MICROS_PER_TOKEN / 10;
    private static final int MAXIMUM_PAUSES = 1_024;

    private final String account;
    private final TokenBucket bucket;
    private final Deque<WaitingRequest> waiters = new ArrayDeque<>();
    private final Map<String, PeerBackoff> pauses = new HashMap<>();
    private final Set<String> askedPeers = new HashSet<>();
    private final Map<String, LendableHint> hints = new HashMap<>();
    private boolean known;
    private long askedMicros;

    private record WaitingRequest(long number, long untilNanos) {}

    /** A part of a token to ask a peer for. */
    record PeerAmount(String peer, long micros) {}

    /** What a peer could lend at a moment. */
    private record LendableHint(long micros, long atNanos) {}

    /** Until when a peer is not asked again, and for how long it was not. */
    private record PeerBackoff(long untilNanos, long lengthNanos) {}

    AccountTokenState(String account, long nowNanos) {
        this.account = account;
        this.bucket = new TokenBucket(nowNanos);
    }

    String account() {
        return account;
    }

    TokenBucket bucket() {
        return bucket;
    }

    boolean isKnown() {
        return known;
    }

    void known(boolean value) {
        known = value;
    }

    int size() {
        return waiters.size();
    }

    void add(long waiter, long untilNanos) {
        waiters.add(new WaitingRequest(waiter, untilNanos));
    }

    /** Removes the requests that waited as long as they may, wherever they stand. */
    List<Long> removeExpired(long nowNanos) {
        List<Long> expired = new ArrayList<>();
        waiters.removeIf(waiter -> {
            boolean over = nowNanos - waiter.untilNanos() > 0;
            if (over) {
                expired.add(waiter.number());
            }
            return over;
        });
        return expired;
    }

    long remove() {
        return waiters.remove().number();
    }

    long askedMicros() {
        return askedMicros;
    }

    void asked(long micros) {
        askedMicros += micros;
    }

    int asks() {
        return askedPeers.size();
    }

    void peerAsked(String peer) {
        hints.remove(peer);
        askedPeers.add(peer);
    }

    /** Notes what a peer gave; one that had too little is left alone for a while, longer each time it has nothing. */
    void peerGave(String peer, long micros, long askedOfPeer, long nowNanos) {
        askedPeers.remove(peer);
        if (micros >= askedOfPeer) {
            pauses.remove(peer);
            return;
        }
        PeerBackoff last = pauses.get(peer);
        long length = last == null || micros > 0
                ? MINIMUM_PAUSE_NANOS
                : Math.min(MAXIMUM_PAUSE_NANOS, last.lengthNanos() * 2);
        if (pauses.size() >= MAXIMUM_PAUSES) {
            pauses.clear();
        }
        pauses.put(peer, new PeerBackoff(nowNanos + length, length));
    }

    /** Notes what a peer said that it could still lend. */
    void hint(String peer, long micros, long nowNanos) {
        hints.values().removeIf(hint -> nowNanos - hint.atNanos() > HINT_NANOS);
        if (micros >= MINIMUM_PART_MICROS) {
            hints.put(peer, new LendableHint(micros, nowNanos));
        } else {
            hints.remove(peer);
        }
    }

    /** Chooses peers that together have an amount, the richest first; none if all together have less. */
    List<PeerAmount> partsOf(long micros, long nowNanos) {
        List<PeerAmount> parts = new ArrayList<>();
        long rest = micros;
        List<Map.Entry<String, LendableHint>> richest = hints.entrySet().stream()
                .filter(entry -> nowNanos - entry.getValue().atNanos() <= HINT_NANOS)
                .filter(entry -> !askedPeers.contains(entry.getKey()))
                .sorted(Comparator.comparingLong(entry -> -entry.getValue().micros()))
                .toList();
        for (Map.Entry<String, LendableHint> entry : richest) {
            if (rest > 0) {
                parts.add(new PeerAmount(
                        entry.getKey(), Math.min(rest, entry.getValue().micros())));
                rest -= entry.getValue().micros();
            }
        }
        return rest > 0 ? List.of() : parts;
    }

    /** Chooses the first peer that is neither being asked nor left alone. */
    Optional<String> choosePeer(List<String> peers, long nowNanos) {
        return peers.stream().filter(peer -> mayAsk(peer, nowNanos)).findFirst();
    }

    private boolean mayAsk(String peer, long nowNanos) {
        PeerBackoff pause = pauses.get(peer);
        return !askedPeers.contains(peer) && (pause == null || nowNanos - pause.untilNanos() >= 0);
    }
}
