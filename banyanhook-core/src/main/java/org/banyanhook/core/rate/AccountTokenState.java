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

    private static final long MINIMUM_BACKOFF_NANOS = 50_000_000;
    private static final long MAXIMUM_BACKOFF_NANOS = 800_000_000;
    private static final long HINT_LIFETIME_NANOS = 500_000_000;
    private static final long MINIMUM_HINT_MICROS = Tokens.MICROS_PER_TOKEN / 10;
    private static final int MAXIMUM_BACKOFF_ENTRIES = 1_024;

    private final String account;
    private final TokenBucket bucket;
    private final Deque<WaitingRequest> waitingRequests = new ArrayDeque<>();
    private final Map<String, PeerBackoff> backoffs = new HashMap<>();
    private final Set<String> pendingPeers = new HashSet<>();
    private final Map<String, LendableHint> hints = new HashMap<>();
    private boolean configured;
    private long requestedMicros;

    private record WaitingRequest(long number, long deadlineNanos) {}

    /** A part of a token to ask a peer for. */
    record PeerAmount(String peer, long micros) {}

    /** What a peer could lend at a moment. */
    private record LendableHint(long micros, long receivedNanos) {}

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

    boolean isConfigured() {
        return configured;
    }

    void configured(boolean value) {
        configured = value;
    }

    int waitingCount() {
        return waitingRequests.size();
    }

    void addWaiting(long number, long deadlineNanos) {
        waitingRequests.add(new WaitingRequest(number, deadlineNanos));
    }

    /** Removes the requests that waited as long as they may, wherever they stand. */
    List<Long> removeExpired(long nowNanos) {
        List<Long> expired = new ArrayList<>();
        waitingRequests.removeIf(request -> {
            boolean isExpired = nowNanos - request.deadlineNanos() > 0;
            if (isExpired) {
                expired.add(request.number());
            }
            return isExpired;
        });
        return expired;
    }

    long removeOldest() {
        return waitingRequests.remove().number();
    }

    long requestedMicros() {
        return requestedMicros;
    }

    void addRequestedMicros(long micros) {
        requestedMicros += micros;
    }

    int pendingPeerCount() {
        return pendingPeers.size();
    }

    void onRequestSent(String peer) {
        hints.remove(peer);
        pendingPeers.add(peer);
    }

    /** Notes what a peer gave; one that had too little is left alone for a while, longer each time it has nothing. */
    void onTransfer(String peer, long receivedMicros, long requestedFromPeerMicros, long nowNanos) {
        pendingPeers.remove(peer);
        if (receivedMicros >= requestedFromPeerMicros) {
            backoffs.remove(peer);
            return;
        }
        PeerBackoff previous = backoffs.get(peer);
        long lengthNanos = previous == null || receivedMicros > 0
                ? MINIMUM_BACKOFF_NANOS
                : Math.min(MAXIMUM_BACKOFF_NANOS, previous.lengthNanos() * 2);
        if (backoffs.size() >= MAXIMUM_BACKOFF_ENTRIES) {
            backoffs.clear();
        }
        backoffs.put(peer, new PeerBackoff(nowNanos + lengthNanos, lengthNanos));
    }

    /** Notes what a peer said that it could still lend. */
    void recordHint(String peer, long micros, long nowNanos) {
        hints.values().removeIf(hint -> nowNanos - hint.receivedNanos() > HINT_LIFETIME_NANOS);
        if (micros >= MINIMUM_HINT_MICROS) {
            hints.put(peer, new LendableHint(micros, nowNanos));
        } else {
            hints.remove(peer);
        }
    }

    /** Chooses peers that together have an amount, the richest first; none if all together have less. */
    List<PeerAmount> splitBetweenPeers(long micros, long nowNanos) {
        List<PeerAmount> amounts = new ArrayList<>();
        long remainingMicros = micros;
        List<Map.Entry<String, LendableHint>> largestFirst = hints.entrySet().stream()
                .filter(entry -> nowNanos - entry.getValue().receivedNanos() <= HINT_LIFETIME_NANOS)
                .filter(entry -> !pendingPeers.contains(entry.getKey()))
                .sorted(Comparator.comparingLong(entry -> -entry.getValue().micros()))
                .toList();
        for (Map.Entry<String, LendableHint> entry : largestFirst) {
            if (remainingMicros > 0) {
                amounts.add(new PeerAmount(
                        entry.getKey(),
                        Math.min(remainingMicros, entry.getValue().micros())));
                remainingMicros -= entry.getValue().micros();
            }
        }
        return remainingMicros > 0 ? List.of() : amounts;
    }

    /** Chooses the first peer that is neither being asked nor left alone. */
    Optional<String> choosePeer(List<String> peers, long nowNanos) {
        return peers.stream().filter(peer -> isAvailable(peer, nowNanos)).findFirst();
    }

    private boolean isAvailable(String peer, long nowNanos) {
        PeerBackoff backoff = backoffs.get(peer);
        return !pendingPeers.contains(peer) && (backoff == null || nowNanos - backoff.untilNanos() >= 0);
    }
}
