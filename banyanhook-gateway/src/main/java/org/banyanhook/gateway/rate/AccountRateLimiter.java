package org.banyanhook.gateway.rate;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import org.banyanhook.core.configuration.ClientAccount;
import org.banyanhook.core.configuration.SessionConfiguration;
import org.banyanhook.core.rate.AccountLimit;
import org.banyanhook.core.rate.LendingDecision;
import org.banyanhook.core.rate.PendingTokenRequests;
import org.banyanhook.core.rate.RateTimings;
import org.banyanhook.core.rate.TokenAction;
import org.banyanhook.core.rate.TokenExchange;
import org.banyanhook.core.rate.TokenHolders;
import org.banyanhook.core.rate.Tokens;
import org.banyanhook.gateway.fleet.FleetDirectory;
import org.banyanhook.gateway.operation.DecisionLog;
import org.banyanhook.gateway.operation.GatewayMetrics;
import org.banyanhook.gateway.operation.MonotonicClock;

/**
 * Enforces the rate limits of client accounts across all daemons. The holders of an account accrue equal parts of its
 * rate; a daemon that is short of tokens borrows from them. Tokens are moved, never copied. Used on the event loop
 * only.
 */
public final class AccountRateLimiter {

    /** How long an operation may wait for a token; a few round trips to other daemons. */
    private static final long MAXIMUM_TOKEN_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** How many requests for tokens may be sent to other daemons per second. */
    private static final double MAXIMUM_PEER_REQUESTS_PER_SECOND = 100;

    /**
     * How far ahead the end of the right to accrue is set, so that it never comes: isolated daemons keep accruing their
     * part.
     */
    private static final long ACCRUAL_HORIZON_NANOS = TimeUnit.DAYS.toNanos(1);

    /**
     * How often waiting requests are looked at. A holder that had no token is asked again as soon as its backoff ends;
     * at the interval of the other periodic checks most of the waiting time would pass before.
     */
    private static final long WAITING_CHECK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

    private static final Duration PEER_REQUEST_TIMEOUT = Duration.ofMillis(200);

    private final FleetDirectory directory;
    private final String entryVm;
    private final String failureDomain;
    private final UnaryOperator<String> regionOf;
    private final TokenLender tokenLender;
    private final MonotonicClock clock;
    private final DecisionLog log;
    private final GatewayMetrics metrics;
    private final TokenExchange exchange;
    private final Map<Long, WaitingRequest> waitingRequests = new HashMap<>();
    private final Map<String, TokenHolders.Holders> holders = new HashMap<>();
    private SessionConfiguration appliedConfiguration = SessionConfiguration.EMPTY;
    private Map<String, String> appliedFailureDomains = Map.of();
    private final DelayedExecutor delayedExecutor;
    private long lastRequestNumber;
    private boolean checkScheduled;

    private record WaitingRequest(String requestId, Consumer<Boolean> result) {}

    /** Requests tokens from other daemons. */
    @FunctionalInterface
    public interface TokenLender {
        /**
         * Requests tokens from a daemon.
         *
         * @param request the daemon, the client account and the number of tokens
         * @param timeout how long to wait for the answer
         * @param listener receives the answer on the event loop
         */
        void requestTokens(PendingTokenRequests.Request request, Duration timeout, TransferListener listener);
    }

    /** Runs a task on the event loop after a delay. */
    @FunctionalInterface
    public interface DelayedExecutor {
        /**
         * Schedules a task.
         *
         * @param task the task
         * @param delayNanos the delay in nanoseconds
         */
        void schedule(Runnable task, long delayNanos);
    }

    /** Receives the answer of another daemon. */
    public interface TransferListener {
        /** Handles the tokens that were lent and those that could still be lent, in millionths of a token. */
        void onTransfer(long micros, long lendableMicros);

        /** Handles that the daemon has not answered. */
        void onNoAnswer();
    }

    /**
     * Creates a limiter that accepts nothing until a configuration is known.
     *
     * @param entryVm the name of this entry VM
     * @param failureDomain its failure domain
     * @param regionOf returns the region of a failure domain
     * @param directory provides the configured rates and the daemons
     * @param tokenLender requests tokens from other daemons
     * @param delayedExecutor runs tasks on the event loop
     * @param clock the monotonic clock
     * @param log receives a line for each refusal and for each change of the limits
     * @param metrics counts tokens granted and refused
     */
    public AccountRateLimiter(
            String entryVm,
            String failureDomain,
            UnaryOperator<String> regionOf,
            FleetDirectory directory,
            TokenLender tokenLender,
            DelayedExecutor delayedExecutor,
            MonotonicClock clock,
            DecisionLog log,
            GatewayMetrics metrics) {
        this.entryVm = entryVm;
        this.failureDomain = failureDomain;
        this.regionOf = regionOf;
        this.directory = directory;
        this.tokenLender = tokenLender;
        this.delayedExecutor = delayedExecutor;
        this.clock = clock;
        this.log = log;
        this.metrics = metrics;
        this.exchange = new TokenExchange(
                RateTimings.DEFAULT, this::lendersNearestFirst, MAXIMUM_PEER_REQUESTS_PER_SECOND, clock.nowNanos());
    }

    /**
     * Takes one token.
     *
     * @param account the client account
     * @param requestId the request, for the log
     * @param result receives whether a token was taken, possibly before this method returns
     */
    public void acquire(String account, String requestId, Consumer<Boolean> result) {
        long now = clock.nowNanos();
        updateLimits(now);
        long requestNumber = ++lastRequestNumber;
        waitingRequests.put(requestNumber, new WaitingRequest(requestId, result));
        perform(exchange.acquire(account, requestNumber, now + MAXIMUM_TOKEN_WAIT_NANOS, accrualEndNanos(now), now));
    }

    /**
     * Lends tokens to another daemon.
     *
     * @param account the client account
     * @param micros the number of tokens requested, in millionths of a token
     * @return the tokens that were lent
     */
    public LendingDecision lend(String account, long micros) {
        long now = clock.nowNanos();
        updateLimits(now);
        return exchange.lend(account, micros, false, accrualEndNanos(now), now);
    }

    /** Refuses requests that have waited too long, and applies a changed configuration or set of daemons. */
    public void tick() {
        long now = clock.nowNanos();
        updateLimits(now);
        if (!waitingRequests.isEmpty()) {
            perform(exchange.onTick(accrualEndNanos(now), now));
        }
    }

    private static long accrualEndNanos(long now) {
        return now + ACCRUAL_HORIZON_NANOS;
    }

    private void updateLimits(long now) {
        SessionConfiguration configuration = directory.configuration();
        Map<String, String> daemons = directory.recentFailureDomains();
        if (configuration == appliedConfiguration && daemons == appliedFailureDomains) {
            return;
        }
        exchange.accrueAll(now, accrualEndNanos(now));
        TokenHolders tokenHolders = new TokenHolders(daemons, regionOf);
        holders.clear();
        Map<String, AccountLimit> limits = new HashMap<>();
        for (ClientAccount account : configuration.accounts()) {
            TokenHolders.Holders accountHolders = tokenHolders.choose(account.name(), account.burst());
            holders.put(account.name(), accountHolders);
            limits.put(account.name(), limitFor(account, accountHolders));
        }
        exchange.setLimits(limits, now);
        appliedConfiguration = configuration;
        appliedFailureDomains = daemons;
        log.line("rates")
                .with("version", configuration.version())
                .with("daemons", daemons.size())
                .write();
    }

    private AccountLimit limitFor(ClientAccount account, TokenHolders.Holders accountHolders) {
        if (!accountHolders.contains(entryVm)) {
            return AccountLimit.NONE;
        }
        return new AccountLimit(
                account.ratePerSecond() / accountHolders.count(),
                Tokens.toMicros(account.burst() / accountHolders.count()));
    }

    private List<String> lendersNearestFirst(String account) {
        TokenHolders.Holders accountHolders = holders.get(account);
        return accountHolders == null ? List.of() : accountHolders.nearestFirst(entryVm, failureDomain, regionOf);
    }

    private void perform(List<TokenAction> actions) {
        for (TokenAction action : actions) {
            if (action instanceof TokenAction.Accept accepted) {
                complete(accepted.requestNumber(), true);
            } else if (action instanceof TokenAction.RequestTokens ask) {
                tokenLender.requestTokens(ask.request(), PEER_REQUEST_TIMEOUT, listener(ask.request()));
            } else if (action instanceof TokenAction.Refuse refused) {
                refuse(refused);
            }
        }
        if (!waitingRequests.isEmpty() && !checkScheduled) {
            checkScheduled = true;
            delayedExecutor.schedule(this::checkWaiting, WAITING_CHECK_INTERVAL_NANOS);
        }
    }

    private TransferListener listener(PendingTokenRequests.Request request) {
        return new TransferListener() {
            @Override
            public void onTransfer(long micros, long lendableMicros) {
                long now = clock.nowNanos();
                perform(exchange.onTransfer(request.sequence(), micros, lendableMicros, accrualEndNanos(now), now));
            }

            @Override
            public void onNoAnswer() {
                long now = clock.nowNanos();
                perform(exchange.onTokenRequestFailed(request.sequence(), accrualEndNanos(now), now));
            }
        };
    }

    private void checkWaiting() {
        checkScheduled = false;
        tick();
    }

    private void refuse(TokenAction.Refuse refused) {
        WaitingRequest waitingRequest = waitingRequests.get(refused.requestNumber());
        log.line("rate-refusal")
                .with("request", waitingRequest == null ? null : waitingRequest.requestId())
                .with("account", refused.clientAccount())
                .with("reason", refused.reason())
                .with("version", appliedConfiguration.version())
                .with("daemons", appliedFailureDomains.size())
                .with("stockMicros", exchange.availableMicros(refused.clientAccount()))
                .write();
        complete(refused.requestNumber(), false);
    }

    private void complete(long requestNumber, boolean accepted) {
        WaitingRequest waitingRequest = waitingRequests.remove(requestNumber);
        if (waitingRequest != null) {
            metrics.count("rate.tokens", "result", accepted ? "granted" : "refused");
            waitingRequest.result().accept(accepted);
        }
    }
}
