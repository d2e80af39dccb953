package org.banyanhook.core.rate;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * Accepts requests as long as this process has tokens, and requests missing tokens from peers.
 *
 * <p>Requests of an account are served in order and wait for a limited time. While they wait, tokens are requested
 * first from the holders in its own failure domain and then from those in other failure domains. Not safe for use by
 * several threads.
 */
public final class TokenExchange {

    private static final int MAXIMUM_WAITING_REQUESTS = 256;
    private static final int MAXIMUM_PENDING_PEERS_PER_ACCOUNT = 3;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    /**
     * When a token request counts as overdue, and another peer is asked: some round trips between regions, and less
     * than a third of the time that a request waits for a token.
     */
    private static final long OVERDUE_NANOS = 70_000_000L;

    private final RateTimings timings;
    private final Function<String, List<String>> peersOfAccount;
    private final TokenRequestLimiter tokenRequestLimiter;
    private final PendingTokenRequests pendingRequests = new PendingTokenRequests();
    private final UnansweredPeers unansweredPeers = new UnansweredPeers();
    private final Map<String, AccountTokenState> accounts = new TreeMap<>();

    /**
     * Creates a token exchange without client accounts.
     *
     * @param timings the durations of lent and borrowed tokens
     * @param peersOfAccount returns the entry VMs to request tokens of an account from, in order of preference
     * @param tokenRequestsPerSecond the maximum number of token requests to peers per second
     * @param nowNanos the time on this entry VM's monotonic clock
     */
    public TokenExchange(
            RateTimings timings,
            Function<String, List<String>> peersOfAccount,
            double tokenRequestsPerSecond,
            long nowNanos) {
        this.timings = timings;
        this.peersOfAccount = peersOfAccount;
        this.tokenRequestLimiter = new TokenRequestLimiter(tokenRequestsPerSecond, nowNanos);
    }

    /** Accrues all buckets; call before the lease is renewed, so that no tokens accrue for a time without a lease. */
    public void accrueAll(long nowNanos, long leaseExpiryNanos) {
        accounts.values().forEach(state -> state.bucket().accrue(nowNanos, leaseExpiryNanos));
    }

    /** Sets the limits of all accounts; an account without a limit loses its own tokens. Accrue all buckets first. */
    public void setLimits(Map<String, AccountLimit> limits, long nowNanos) {
        limits.keySet()
                .forEach(account -> accounts.computeIfAbsent(account, name -> new AccountTokenState(name, nowNanos)));
        accounts.forEach((account, state) -> {
            AccountLimit limit = limits.getOrDefault(account, AccountLimit.NONE);
            state.bucket().setLimit(limit.capacityMicros(), limit.tokensPerSecond());
            state.configured(limits.containsKey(account));
        });
    }

    /**
     * Adds a request that needs one token.
     *
     * @param account the client account
     * @param requestNumber a number that identifies the request in the actions
     * @param requestDeadlineNanos when the request is refused if it still waits
     * @param leaseExpiryNanos when the lease to use own tokens expires
     * @param nowNanos the time on this entry VM's monotonic clock
     * @return the actions to take now
     */
    public List<TokenAction> acquire(
            String account, long requestNumber, long requestDeadlineNanos, long leaseExpiryNanos, long nowNanos) {
        AccountTokenState state = accounts.get(account);
        if (state == null || !state.isConfigured()) {
            return List.of(
                    refusal(account, requestNumber, "the account has no rate at this process", NANOS_PER_SECOND));
        }
        if (state.waitingCount() >= MAXIMUM_WAITING_REQUESTS) {
            return List.of(refusal(
                    account,
                    requestNumber,
                    MAXIMUM_WAITING_REQUESTS + " requests of the account are already waiting",
                    NANOS_PER_SECOND));
        }
        if (requestDeadlineNanos - nowNanos <= 0) {
            return serveWithoutWaiting(state, requestNumber, leaseExpiryNanos, nowNanos);
        }
        state.addWaiting(requestNumber, requestDeadlineNanos);
        List<TokenAction> actions = serve(state, leaseExpiryNanos, nowNanos);
        if (state.waitingCount() > 0 && isExhausted(state, requestDeadlineNanos, leaseExpiryNanos, nowNanos)) {
            state.removeNewest();
            actions.add(refusal(account, requestNumber, "no token expected within the time to wait", NANOS_PER_SECOND));
        }
        return actions;
    }

    /**
     * Returns whether the newest waiting request cannot get a token in time, as far as is known: no peer has been asked
     * or will be asked by then, and too little accrues here for it and those that wait before it.
     */
    private boolean isExhausted(
            AccountTokenState state, long requestDeadlineNanos, long leaseExpiryNanos, long nowNanos) {
        boolean ownUsable = nowNanos - leaseExpiryNanos < 0;
        if (state.pendingPeerCount() > 0 || !ownUsable) {
            // A peer may answer, or the lease may be renewed, before the request is refused.
            return false;
        }
        long nextPeerNanos = state.nextPeerNanos(peersOfAccount.apply(state.account()), nowNanos)
                .orElse(Long.MAX_VALUE);
        if (nextPeerNanos - requestDeadlineNanos < 0) {
            return false;
        }
        long accruing = state.bucket().accruingMicros(requestDeadlineNanos - nowNanos);
        return state.bucket().availableMicros(true) + accruing < state.waitingCount() * Tokens.MICROS_PER_TOKEN;
    }

    /** Decides on a request that may not wait. No peer is asked, as its answer would come too late. */
    private List<TokenAction> serveWithoutWaiting(
            AccountTokenState state, long requestNumber, long leaseExpiryNanos, long nowNanos) {
        List<TokenAction> actions = new ArrayList<>(serve(state, leaseExpiryNanos, nowNanos));
        boolean ownUsable = nowNanos - leaseExpiryNanos < 0;
        boolean accepted = state.waitingCount() == 0 && state.bucket().spend(Tokens.MICROS_PER_TOKEN, ownUsable);
        actions.add(
                accepted
                        ? new TokenAction.Accept(requestNumber)
                        : refusal(state.account(), requestNumber, refusalReason(ownUsable), NANOS_PER_SECOND));
        return actions;
    }

    /**
     * Handles the answer to a token request. A duplicate answer, or one to a request that has ended, is dropped.
     *
     * @param sequence the sequence of the token request
     * @param micros millionths of a token lent
     * @param lendableMicros the millionths that the peer could still lend, as a hint
     * @param leaseExpiryNanos when the lease to use own tokens expires
     * @param nowNanos the time on this entry VM's monotonic clock
     * @return the actions to take now
     */
    public List<TokenAction> onTransfer(
            long sequence, long micros, long lendableMicros, long leaseExpiryNanos, long nowNanos) {
        PendingTokenRequests.Request request = pendingRequests.close(sequence).orElse(null);
        if (request == null) {
            return List.of();
        }
        AccountTokenState state = accounts.get(request.clientAccount());
        if (state == null) {
            pendingRequests.clearOverdue(sequence);
            return List.of();
        }
        unansweredPeers.remove(request.peer());
        return applyTransfer(request, state, micros, lendableMicros, leaseExpiryNanos, nowNanos);
    }

    private List<TokenAction> applyTransfer(
            PendingTokenRequests.Request request,
            AccountTokenState state,
            long micros,
            long lendableMicros,
            long leaseExpiryNanos,
            long nowNanos) {
        long accepted = Math.min(micros, request.micros());
        state.bucket().borrow(accepted, request.sentNanos() + timings.borrowedTokenLifetimeNanos());
        if (!pendingRequests.clearOverdue(request.sequence())) {
            state.addRequestedMicros(-request.micros());
        }
        state.onTransfer(request.peer(), accepted, request.micros(), nowNanos);
        state.recordHint(request.peer(), lendableMicros, nowNanos);
        return serve(state, leaseExpiryNanos, nowNanos);
    }

    /** Handles a token request that was not answered; tokens in a lost answer are lost. */
    public List<TokenAction> onTokenRequestFailed(long sequence, long leaseExpiryNanos, long nowNanos) {
        PendingTokenRequests.Request request = pendingRequests.close(sequence).orElse(null);
        AccountTokenState state = request == null ? null : accounts.get(request.clientAccount());
        if (request == null || state == null) {
            return List.of();
        }
        unansweredPeers.add(request.peer(), nowNanos);
        return applyTransfer(request, state, 0, 0, leaseExpiryNanos, nowNanos);
    }

    /**
     * Lends tokens to a peer.
     *
     * @param account the client account
     * @param micros the millionths of a token requested
     * @param borrowerHasPriority whether the borrower has priority if both have waiting requests and neither bucket has
     *     the capacity for a whole token, so that fractions of tokens are collected in one bucket
     * @param leaseExpiryNanos when the lease to use own tokens expires
     * @param nowNanos the time on this entry VM's monotonic clock
     * @return the amount lent, which is deducted from the bucket
     */
    public LendingDecision lend(
            String account, long micros, boolean borrowerHasPriority, long leaseExpiryNanos, long nowNanos) {
        AccountTokenState state = accounts.get(account);
        if (state == null) {
            return new LendingDecision(0, 0, "the client account is unknown");
        }
        state.bucket().accrue(nowNanos, leaseExpiryNanos);
        if (nowNanos - leaseExpiryNanos >= 0) {
            return new LendingDecision(0, 0, "the allotment lease has expired");
        }
        boolean fractionsOnly = state.bucket().capacityMicros() < Tokens.MICROS_PER_TOKEN;
        if (state.waitingCount() > 0 && !(fractionsOnly && borrowerHasPriority)) {
            return new LendingDecision(0, 0, "requests are waiting at this process");
        }
        long lent = state.bucket()
                .lend(lendableMicros(micros, state.bucket().ownMicros()), nowNanos + timings.lentReservationNanos());
        String reason = lent < micros ? "no more whole tokens available" : "the requested amount is lent in full";
        return new LendingDecision(lent, state.bucket().ownMicros(), reason);
    }

    /** Advances the time: accepts and refuses waiting requests, and requests missing tokens from peers. */
    public List<TokenAction> onTick(long leaseExpiryNanos, long nowNanos) {
        markOverdueRequests(nowNanos);
        List<TokenAction> actions = new ArrayList<>();
        for (AccountTokenState state : accounts.values()) {
            if (state.waitingCount() > 0) {
                actions.addAll(serve(state, leaseExpiryNanos, nowNanos));
            }
        }
        return actions;
    }

    /** Lets other peers be asked for what a peer has not answered; a late answer still counts. */
    private void markOverdueRequests(long nowNanos) {
        for (PendingTokenRequests.Request request : pendingRequests.markOverdue(OVERDUE_NANOS, nowNanos)) {
            unansweredPeers.add(request.peer(), nowNanos);
            AccountTokenState state = accounts.get(request.clientAccount());
            if (state != null) {
                state.addRequestedMicros(-request.micros());
            }
        }
    }

    /** Returns the millionths of an account's tokens that this process owns or has borrowed, as last accrued. */
    public long availableMicros(String account) {
        AccountTokenState state = accounts.get(account);
        return state == null ? 0 : state.bucket().availableMicros(true);
    }

    private List<TokenAction> serve(AccountTokenState state, long leaseExpiryNanos, long nowNanos) {
        List<TokenAction> actions = new ArrayList<>();
        TokenBucket bucket = state.bucket();
        bucket.accrue(nowNanos, leaseExpiryNanos);
        boolean ownUsable = nowNanos - leaseExpiryNanos < 0;
        // Tokens that have accrued or arrived are given out before requests are refused: a process that was busy may
        // look at them only after their time.
        while (state.waitingCount() > 0 && bucket.spend(Tokens.MICROS_PER_TOKEN, ownUsable)) {
            actions.add(new TokenAction.Accept(state.removeOldest()));
        }
        for (long expired : state.removeExpired(nowNanos)) {
            actions.add(refusal(state.account(), expired, refusalReason(ownUsable), NANOS_PER_SECOND));
        }
        requestMissingTokens(state, bucket.availableMicros(ownUsable), nowNanos, actions);
        return actions;
    }

    private void requestMissingTokens(
            AccountTokenState state, long availableMicros, long nowNanos, List<TokenAction> actions) {
        long missingMicros = state.waitingCount() * Tokens.MICROS_PER_TOKEN - availableMicros - state.requestedMicros();
        if (missingMicros <= 0 || state.pendingPeerCount() >= MAXIMUM_PENDING_PEERS_PER_ACCOUNT) {
            return;
        }
        List<String> peers = peersOfAccount.apply(state.account());
        List<String> answering = peers.stream()
                .filter(candidate -> !unansweredPeers.contains(candidate, nowNanos))
                .toList();
        Optional<String> peer = state.choosePeer(answering, nowNanos).or(() -> state.choosePeer(peers, nowNanos));
        if (peer.isPresent()) {
            sendTokenRequest(state, peer.get(), missingMicros, nowNanos, actions);
        } else {
            requestFractions(state, missingMicros, nowNanos, actions);
        }
    }

    /** Requests fractions of one token from several peers, if together their hints suffice. */
    private void requestFractions(
            AccountTokenState state, long missingMicros, long nowNanos, List<TokenAction> actions) {
        long wantedMicros = Math.min(missingMicros, Tokens.MICROS_PER_TOKEN);
        for (AccountTokenState.PeerAmount amount : state.splitBetweenPeers(wantedMicros, nowNanos)) {
            sendTokenRequest(state, amount.peer(), amount.micros(), nowNanos, actions);
        }
    }

    private void sendTokenRequest(
            AccountTokenState state, String peer, long micros, long nowNanos, List<TokenAction> actions) {
        if (tokenRequestLimiter.tryAcquire(nowNanos)) {
            state.addRequestedMicros(micros);
            state.onRequestSent(peer);
            actions.add(new TokenAction.RequestTokens(pendingRequests.open(state.account(), peer, micros, nowNanos)));
        }
    }

    /**
     * Returns the requested amount if owned, else whole tokens only: a fraction that completes no token expires unused.
     */
    private static long lendableMicros(long wantedMicros, long ownMicros) {
        return wantedMicros <= ownMicros ? wantedMicros : ownMicros - ownMicros % Tokens.MICROS_PER_TOKEN;
    }

    private static String refusalReason(boolean ownUsable) {
        return ownUsable ? "no token here or at peers" : "no contact with platform or failure domain";
    }

    private static TokenAction refusal(String account, long requestNumber, String reason, long retryAfterNanos) {
        return new TokenAction.Refuse(requestNumber, account, reason, retryAfterNanos);
    }
}
