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

    private static final int MAXIMUM_WAITERS = 256;
    private static final int MAXIMUM_ASKS_PER_ACCOUNT = 3;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final RateTimings timings;
    private final Function<String, List<String>> peersOfAccount;
    private final TokenRequestLimiter askBudget;
    private final PendingTokenRequests ledger = new PendingTokenRequests();
    private final Map<String, AccountTokenState> queues = new TreeMap<>();

    /**
     * Creates an exchange without accounts.
     *
     * @param timings how long loans last
     * @param peersOfAccount gives the entry VMs to ask for tokens of an account, the best first
     * @param asksPerSecond how many peers may be asked a second
     * @param nowNanos the time on this entry VM's monotonic clock
     */
    public TokenExchange(
            RateTimings timings, Function<String, List<String>> peersOfAccount, double asksPerSecond, long nowNanos) {
        this.timings = timings;
        this.peersOfAccount = peersOfAccount;
        this.askBudget = new TokenRequestLimiter(asksPerSecond, nowNanos);
    }

    /** Accrues all buckets; call before the deadline is renewed, so that nothing is created for the time between. */
    public void accrueAll(long nowNanos, long deadlineNanos) {
        queues.values().forEach(queue -> queue.bucket().accrue(nowNanos, deadlineNanos));
    }

    /** Sets what this process holds of every account; an account that is absent loses all tokens. Accrue all first. */
    public void limit(Map<String, AccountLimit> limits, long nowNanos) {
        limits.keySet()
                .forEach(account -> queues.computeIfAbsent(account, name -> new AccountTokenState(name, nowNanos)));
        queues.forEach((account, queue) -> {
            AccountLimit limit = limits.getOrDefault(account, AccountLimit.NONE);
            queue.bucket().limit(limit.capacityMicros(), limit.tokensPerSecond());
            queue.known(limits.containsKey(account));
        });
    }

    /**
     * Adds a request for one token.
     *
     * @param account the client account
     * @param waiter a number that names the request in the actions
     * @param untilNanos how long it may wait
     * @param deadlineNanos when the right to use own tokens ends
     * @param nowNanos the time on this entry VM's monotonic clock
     * @return what to do now
     */
    public List<TokenAction> acquire(String account, long waiter, long untilNanos, long deadlineNanos, long nowNanos) {
        AccountTokenState queue = queues.get(account);
        if (queue == null || !queue.isKnown()) {
            return List.of(refusal(account, waiter, "the account has no rate here", NANOS_PER_SECOND));
        }
        if (queue.size() >= MAXIMUM_WAITERS) {
            return List.of(refusal(account, waiter, MAXIMUM_WAITERS + " requests wait already", NANOS_PER_SECOND));
        }
        queue.add(waiter, untilNanos);
        return serve(queue, deadlineNanos, nowNanos);
    }

    /**
     * Takes in the answer to a request for tokens; a duplicate or late one is dropped.
     *
     * @param sequence the number of the request
     * @param micros millionths of a token lent
     * @param lendableMicros what the peer could still lend, as a hint
     * @param deadlineNanos when the right to use own tokens ends
     * @param nowNanos the time on this entry VM's monotonic clock
     * @return what to do now
     */
    public List<TokenAction> onTransfer(
            long sequence, long micros, long lendableMicros, long deadlineNanos, long nowNanos) {
        PendingTokenRequests.Request request = ledger.close(sequence).orElse(null);
        if (request == null) {
            return List.of();
        }
        AccountTokenState queue = queues.get(request.clientAccount());
        if (queue == null) {
            return List.of();
        }
        long accepted = Math.min(micros, request.micros());
        queue.bucket().borrow(accepted, request.sentNanos() + timings.borrowedNanos());
        queue.asked(-request.micros());
        queue.peerGave(request.peer(), accepted, request.micros(), nowNanos);
        queue.hint(request.peer(), lendableMicros, nowNanos);
        return serve(queue, deadlineNanos, nowNanos);
    }

    /** Takes in that a request for tokens was not answered; what its answer held is lost. */
    public List<TokenAction> onAskFailed(long sequence, long deadlineNanos, long nowNanos) {
        return onTransfer(sequence, 0, 0, deadlineNanos, nowNanos);
    }

    /**
     * Lends tokens to a peer.
     *
     * @param account the client account
     * @param micros millionths of a token asked for
     * @param borrowerFirst whether the borrower goes first where both have waiting requests and neither can ever hold a
     *     whole token, so that parts of tokens gather in one place
     * @param deadlineNanos when the right to use own tokens ends
     * @param nowNanos the time on this entry VM's monotonic clock
     * @return what was deducted
     */
    public LendingDecision lend(String account, long micros, boolean borrowerFirst, long deadlineNanos, long nowNanos) {
        AccountTokenState queue = queues.get(account);
        if (queue == null) {
            return new LendingDecision(0, 0, "the account is unknown");
        }
        queue.bucket().accrue(nowNanos, deadlineNanos);
        if (nowNanos - deadlineNanos >= 0) {
            return new LendingDecision(0, 0, "without contact");
        }
        boolean partsOnly = queue.bucket().capacityMicros() < Tokens.MICROS_PER_TOKEN;
        if (queue.size() > 0 && !(partsOnly && borrowerFirst)) {
            return new LendingDecision(0, 0, "own requests wait");
        }
        long lent =
                queue.bucket().lend(usefulMicros(micros, queue.bucket().ownMicros()), nowNanos + timings.lentNanos());
        String reason = lent < micros ? "no more whole tokens" : "asked for no more";
        return new LendingDecision(lent, queue.bucket().ownMicros(), reason);
    }

    /** Lets time pass: serves what can be served, refuses what waited too long, asks peers. */
    public List<TokenAction> onTick(long deadlineNanos, long nowNanos) {
        List<TokenAction> actions = new ArrayList<>();
        for (AccountTokenState queue : queues.values()) {
            if (queue.size() > 0) {
                actions.addAll(serve(queue, deadlineNanos, nowNanos));
            }
        }
        return actions;
    }

    /** Returns the millionths of an account that this process owns or has borrowed, as last accrued. */
    public long stockMicros(String account) {
        AccountTokenState queue = queues.get(account);
        return queue == null ? 0 : queue.bucket().availableMicros(true);
    }

    private List<TokenAction> serve(AccountTokenState queue, long deadlineNanos, long nowNanos) {
        List<TokenAction> actions = new ArrayList<>();
        TokenBucket bucket = queue.bucket();
        bucket.accrue(nowNanos, deadlineNanos);
        boolean ownUsable = nowNanos - deadlineNanos < 0;
        String reason = ownUsable ? "no token here or at peers" : "no contact with platform or failure domain";
        for (long expired : queue.removeExpired(nowNanos)) {
            actions.add(refusal(queue.account(), expired, reason, NANOS_PER_SECOND));
        }
        while (queue.size() > 0 && bucket.spend(Tokens.MICROS_PER_TOKEN, ownUsable)) {
            actions.add(new TokenAction.Accept(queue.remove()));
        }
        ask(queue, bucket.availableMicros(ownUsable), nowNanos, actions);
        return actions;
    }

    private void ask(AccountTokenState queue, long availableMicros, long nowNanos, List<TokenAction> actions) {
        long shortMicros = queue.size() * Tokens.MICROS_PER_TOKEN - availableMicros - queue.askedMicros();
        if (shortMicros <= 0 || queue.asks() >= MAXIMUM_ASKS_PER_ACCOUNT) {
            return;
        }
        Optional<String> peer = queue.choosePeer(peersOfAccount.apply(queue.account()), nowNanos);
        if (peer.isPresent()) {
            askPeer(queue, peer.get(), shortMicros, nowNanos, actions);
        } else {
            askForParts(queue, shortMicros, nowNanos, actions);
        }
    }

    /** Asks several peers for parts of one token, if together they were said to have enough. */
    private void askForParts(AccountTokenState queue, long shortMicros, long nowNanos, List<TokenAction> actions) {
        long rest = Math.min(shortMicros, Tokens.MICROS_PER_TOKEN);
        for (AccountTokenState.PeerAmount part : queue.partsOf(rest, nowNanos)) {
            askPeer(queue, part.peer(), part.micros(), nowNanos, actions);
        }
    }

    private void askPeer(AccountTokenState queue, String peer, long micros, long nowNanos, List<TokenAction> actions) {
        if (askBudget.take(nowNanos)) {
            queue.asked(micros);
            queue.peerAsked(peer);
            actions.add(new TokenAction.RequestTokens(ledger.open(queue.account(), peer, micros, nowNanos)));
        }
    }

    /** Returns all that is wanted, or else whole tokens only, because a part that completes no token lapses unused. */
    private static long usefulMicros(long wantedMicros, long ownMicros) {
        return wantedMicros <= ownMicros ? wantedMicros : ownMicros - ownMicros % Tokens.MICROS_PER_TOKEN;
    }

    private static TokenAction refusal(String account, long waiter, String reason, long retryAfterNanos) {
        return new TokenAction.Refuse(waiter, account, reason, retryAfterNanos);
    }
}
