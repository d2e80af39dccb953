package org.banyanhook.core.rate;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * Serves requests from the tokens of one process, and asks peers for tokens when they are short.
 *
 * <p>Requests of an account are served in order and wait a bounded time; while they wait, the process asks the holders
 * of its own failure domain first and then those of the others. Not safe for use by several threads.
 */
public final class TokenExchange {

    private static final int MAXIMUM_WAITING_REQUESTS = 256;
    private static final int MAXIMUM_PENDING_PEERS_PER_ACCOUNT = 3;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final RateTimings timings;
    private final Function<String, List<String>> peersOfAccount;
    private final TokenRequestLimiter tokenRequestLimiter;
    private final PendingTokenRequests pendingRequests = new PendingTokenRequests();
    private final Map<String, AccountTokenState> accounts = new TreeMap<>();

    /**
     * Creates an exchange without accounts.
     *
     * @param timings how long loans last
     * @param peersOfAccount gives the entry VMs to ask for tokens of an account, the best first
     * @param tokenRequestsPerSecond how many peers may be asked a second
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

    /** Accrues all buckets; call before the deadline is renewed, so that nothing is created for the time between. */
    public void accrueAll(long nowNanos, long leaseExpiryNanos) {
        accounts.values().forEach(state -> state.bucket().accrue(nowNanos, leaseExpiryNanos));
    }

    /** Sets what this process holds of every account; an account that is absent loses all tokens. Accrue all first. */
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
     * Adds a request for one token.
     *
     * @param account the client account
     * @param requestNumber a number that names the request in the actions
     * @param requestDeadlineNanos how long it may wait
     * @param leaseExpiryNanos when the right to use own tokens ends
     * @param nowNanos the time on this entry VM's monotonic clock
     * @return what to do now
     */
    public List<TokenAction> acquire(
            String account, long requestNumber, long requestDeadlineNanos, long leaseExpiryNanos, long nowNanos) {
        AccountTokenState state = accounts.get(account);
        if (state == null || !state.isConfigured()) {
            return List.of(refusal(account, requestNumber, "the account has no rate here", NANOS_PER_SECOND));
        }
        if (state.waitingCount() >= MAXIMUM_WAITING_REQUESTS) {
            return List.of(refusal(
                    account, requestNumber, MAXIMUM_WAITING_REQUESTS + " requests wait already", NANOS_PER_SECOND));
        }
        state.addWaiting(requestNumber, requestDeadlineNanos);
        return serve(state, leaseExpiryNanos, nowNanos);
    }

    /**
     * Takes in the answer to a request for tokens; a duplicate or late one is dropped.
     *
     * @param sequence the number of the request
     * @param micros millionths of a token lent
     * @param lendableMicros what the peer could still lend, as a hint
     * @param leaseExpiryNanos when the right to use own tokens ends
     * @param nowNanos the time on this entry VM's monotonic clock
     * @return what to do now
     */
    public List<TokenAction> onTransfer(
            long sequence, long micros, long lendableMicros, long leaseExpiryNanos, long nowNanos) {
        PendingTokenRequests.Request request = pendingRequests.close(sequence).orElse(null);
        if (request == null) {
            return List.of();
        }
        AccountTokenState state = accounts.get(request.clientAccount());
        if (state == null) {
            return List.of();
        }
        long accepted = Math.min(micros, request.micros());
        state.bucket().borrow(accepted, request.sentNanos() + timings.borrowedTokenLifetimeNanos());
        state.addRequestedMicros(-request.micros());
        state.onTransfer(request.peer(), accepted, request.micros(), nowNanos);
        state.recordHint(request.peer(), lendableMicros, nowNanos);
        return serve(state, leaseExpiryNanos, nowNanos);
    }

    /** Takes in that a request for tokens was not answered; what its answer held is lost. */
    public List<TokenAction> onTokenRequestFailed(long sequence, long leaseExpiryNanos, long nowNanos) {
        return onTransfer(sequence, 0, 0, leaseExpiryNanos, nowNanos);
    }

    /**
     * Lends tokens to a peer.
     *
     * @param account the client account
     * @param micros millionths of a token asked for
     * @param borrowerHasPriority whether the borrower goes first where both have waiting requests and neither can ever
     *     hold a whole token, so that parts of tokens gather in one place
     * @param leaseExpiryNanos when the right to use own tokens ends
     * @param nowNanos the time on this entry VM's monotonic clock
     * @return what was deducted
     */
    public LendingDecision lend(
            String account, long micros, boolean borrowerHasPriority, long leaseExpiryNanos, long nowNanos) {
        AccountTokenState state = accounts.get(account);
        if (state == null) {
            return new LendingDecision(0, 0, "the account is unknown");
        }
        state.bucket().accrue(nowNanos, leaseExpiryNanos);
        if (nowNanos - leaseExpiryNanos >= 0) {
            return new LendingDecision(0, 0, "without contact");
        }
        boolean fractionsOnly = state.bucket().capacityMicros() < Tokens.MICROS_PER_TOKEN;
        if (state.waitingCount() > 0 && !(fractionsOnly && borrowerHasPriority)) {
            return new LendingDecision(0, 0, "own requests wait");
        }
        long lent = state.bucket()
                .lend(lendableMicros(micros, state.bucket().ownMicros()), nowNanos + timings.lentReservationNanos());
        String reason = lent < micros ? "no more whole tokens" : "asked for no more";
        return new LendingDecision(lent, state.bucket().ownMicros(), reason);
    }

    /** Lets time pass: serves what can be served, refuses what waited too long, asks peers. */
    public List<TokenAction> onTick(long leaseExpiryNanos, long nowNanos) {
        List<TokenAction> actions = new ArrayList<>();
        for (AccountTokenState state : accounts.values()) {
            if (state.waitingCount() > 0) {
                actions.addAll(serve(state, leaseExpiryNanos, nowNanos));
            }
        }
        return actions;
    }

    /** Returns the millionths of an account that this process owns or has borrowed, as last accrued. */
    public long availableMicros(String account) {
        AccountTokenState state = accounts.get(account);
        return state == null ? 0 : state.bucket().availableMicros(true);
    }

    private List<TokenAction> serve(AccountTokenState state, long leaseExpiryNanos, long nowNanos) {
        List<TokenAction> actions = new ArrayList<>();
        TokenBucket bucket = state.bucket();
        bucket.accrue(nowNanos, leaseExpiryNanos);
        boolean ownUsable = nowNanos - leaseExpiryNanos < 0;
        String reason = ownUsable ? "no token here or at peers" : "no contact with platform or failure domain";
        for (long expired : state.removeExpired(nowNanos)) {
            actions.add(refusal(state.account(), expired, reason, NANOS_PER_SECOND));
        }
        while (state.waitingCount() > 0 && bucket.spend(Tokens.MICROS_PER_TOKEN, ownUsable)) {
            actions.add(new TokenAction.Accept(state.removeOldest()));
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
        Optional<String> peer = state.choosePeer(peersOfAccount.apply(state.account()), nowNanos);
        if (peer.isPresent()) {
            sendTokenRequest(state, peer.get(), missingMicros, nowNanos, actions);
        } else {
            requestFractions(state, missingMicros, nowNanos, actions);
        }
    }

    /** Asks several peers for parts of one token, if together they were said to have enough. */
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

    /** Returns all that is wanted, or else whole tokens only, because a part that completes no token lapses unused. */
    private static long lendableMicros(long wantedMicros, long ownMicros) {
        return wantedMicros <= ownMicros ? wantedMicros : ownMicros - ownMicros % Tokens.MICROS_PER_TOKEN;
    }

    private static TokenAction refusal(String account, long requestNumber, String reason, long retryAfterNanos) {
        return new TokenAction.Refuse(requestNumber, account, reason, retryAfterNanos);
    }
}
