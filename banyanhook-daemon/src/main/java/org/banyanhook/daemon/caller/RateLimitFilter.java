package org.banyanhook.daemon.caller;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.daemon.rate.RateLimiter;

/**
 * Acquires a token of the client account's fleet-wide rate for each request.
 *
 * <p>Requests without a key are not rate-limited here; the fair queue limits them to the share of one account.
 */
final class RateLimitFilter implements RequestFilter {

    private static final Duration MAXIMUM_WAIT = Duration.ofMillis(250);

    private final RateLimiter limiter;

    RateLimitFilter(RateLimiter limiter) {
        this.limiter = requireNonNull(limiter, "limiter");
    }

    @Override
    public CompletableFuture<CallerReply> handle(CallerExchange exchange, FilterChain next) throws RefusalException {
        if (exchange.account().isEmpty()) {
            return next.proceed(exchange);
        }
        Duration remaining = exchange.remainingTime();
        Duration maximumWait = remaining.compareTo(MAXIMUM_WAIT) < 0 ? remaining : MAXIMUM_WAIT;
        return limiter.acquire(exchange.effectiveAccount(), maximumWait)
                .thenCompose(acquired -> next.proceed(exchange));
    }
}
