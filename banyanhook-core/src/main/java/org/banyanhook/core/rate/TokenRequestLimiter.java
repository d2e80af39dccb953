package org.banyanhook.core.rate;

/** Bounds how many peers are asked for tokens a second, so that an account over its rate costs little traffic. */
final class TokenRequestLimiter {

    private static final double NANOS_PER_SECOND = 1e9;

    private final double perSecond;
    private double left;
    private long lastNanos;

    TokenRequestLimiter(double perSecond, long nowNanos) {
        this.perSecond = perSecond;
        this.left = perSecond;
        this.lastNanos = nowNanos;
    }

    boolean take(long nowNanos) {
        left = Math.min(perSecond, left + (nowNanos - lastNanos) / NANOS_PER_SECOND * perSecond);
        lastNanos = nowNanos;
        if (left < 1) {
            return false;
        }
        left -= 1;
        return true;
    }
}
