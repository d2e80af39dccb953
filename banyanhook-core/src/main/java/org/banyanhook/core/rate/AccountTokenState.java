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
import java.util.OptionalLong;
import java.util.Set;

/**
 * The token state of one client account at one entry VM: its token bucket, its waiting requests, and the pending token
 * requests, backoffs and hints of its peers.
 *
 * <p>Not safe for use by several threads.
 */
final class AccountTokenState {

    private static final long MINIMUM_BACKOFF_NANOS = 50_000_000;
    private static final long MAXIMUM_BACKOFF_NANOS = 800_000_000;
    private static final long HINT_LIFETIME_NANOS = 500_000_000;

    /** Smaller hints are ignored. */
    private static final long MINIMUM_HINT_MICROS = Tokens.MICROS_PER_TOKEN / 10;

    /** All backoffs are cleared before one is added to this many. */
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

    /** An amount to request from a peer. */
    record PeerAmount(String peer, long micros) {}

    /** The amount that a peer reported as lendable, and when the report was received. */
    private record LendableHint(long micros, long receivedNanos) {}

    /** The end and the length of the time in which {@link #choosePeer} skips a peer. */
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

    /** Removes the requests whose deadline has passed, at any position in the queue, and returns their numbers. */
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

    void removeNewest() {
        waitingRequests.removeLast();
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

    /**
     * Records the tokens that a peer lent. {@link #choosePeer} skips a peer that lent less than requested until its
     * backoff ends; the backoff doubles each time the peer lends nothing.
     */
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

    /** Records the amount that a peer reported as still lendable. */
    void recordHint(String peer, long micros, long nowNanos) {
        hints.values().removeIf(hint -> nowNanos - hint.receivedNanos() > HINT_LIFETIME_NANOS);
        if (micros >= MINIMUM_HINT_MICROS) {
            hints.put(peer, new LendableHint(micros, nowNanos));
        } else {
            hints.remove(peer);
        }
    }

    /**
     * Splits an amount between peers by their hints, the largest first.
     *
     * @return the amount to request from each peer, or empty if all hints together are less than the amount
     */
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

    /**
     * Returns when the first peer without a pending token request may be asked again.
     *
     * @param peers the peers that have tokens of the account
     * @param nowNanos the time on this entry VM's monotonic clock
     * @return the time, at the earliest now; empty if there is no such peer
     */
    OptionalLong nextPeerNanos(List<String> peers, long nowNanos) {
        long earliest = Long.MAX_VALUE;
        boolean found = false;
        for (String peer : peers) {
            if (!pendingPeers.contains(peer)) {
                PeerBackoff backoff = backoffs.get(peer);
                long waitNanos = backoff == null ? 0 : Math.max(0, backoff.untilNanos() - nowNanos);
                earliest = Math.min(earliest, waitNanos);
                found = true;
            }
        }
        return found ? OptionalLong.of(nowNanos + earliest) : OptionalLong.empty();
    }

    /** Returns the first peer that has neither a pending token request nor a running backoff. */
    Optional<String> choosePeer(List<String> peers, long nowNanos) {
        return peers.stream().filter(peer -> isAvailable(peer, nowNanos)).findFirst();
    }

    private boolean isAvailable(String peer, long nowNanos) {
        PeerBackoff backoff = backoffs.get(peer);
        return !pendingPeers.contains(peer) && (backoff == null || nowNanos - backoff.untilNanos() >= 0);
    }
}
