package org.banyanhook.core.rate;

/** Limits the token requests to peers per second, so that accounts over their rate cause little traffic. */
final class TokenRequestLimiter {

    private static final double NANOS_PER_SECOND = 1e9;

    private final double requestsPerSecond;
    private double availableRequests;
    private long lastRefillNanos;

    TokenRequestLimiter(double requestsPerSecond, long nowNanos) {
        this.requestsPerSecond = requestsPerSecond;
        this.availableRequests = requestsPerSecond;
        this.lastRefillNanos = nowNanos;
    }

    boolean tryAcquire(long nowNanos) {
        availableRequests = Math.min(
                requestsPerSecond,
                availableRequests + (nowNanos - lastRefillNanos) / NANOS_PER_SECOND * requestsPerSecond);
        lastRefillNanos = nowNanos;
        if (availableRequests < 1) {
            return false;
        }
        availableRequests -= 1;
        return true;
    }
}
