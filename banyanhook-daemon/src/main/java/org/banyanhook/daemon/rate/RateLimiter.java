package org.banyanhook.daemon.rate;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Limits client accounts to their fleet-wide request rates. Thread-safe; never blocks. */
@FunctionalInterface
public interface RateLimiter {
    /**
     * Acquires one token of a client account.
     *
     * @param clientAccount the name of the account
     * @param maximumWait how long the request may wait for a token
     * @return completed once a token is acquired; failed with a {@link org.banyanhook.core.error.RefusalException} of
     *     kind {@code RATE_EXCEEDED} otherwise
     */
    CompletableFuture<Void> acquire(String clientAccount, Duration maximumWait);
}
