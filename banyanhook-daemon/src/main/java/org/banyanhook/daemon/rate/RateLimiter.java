package org.banyanhook.daemon.rate;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Holds client accounts to their fleet-wide rate. Safe for use by several threads; never blocks. */
@FunctionalInterface
public interface RateLimiter {
    /**
     * Takes one token of a client account.
     *
     * @param clientAccount the name of the account
     * @param maximumWait how long the request may wait for a token
     * @return completed once taken; failed with a {@link org.banyanhook.core.error.RefusalException} of kind
     *     {@code RATE_EXCEEDED} otherwise
     */
    CompletableFuture<Void> acquire(String clientAccount, Duration maximumWait);
}
