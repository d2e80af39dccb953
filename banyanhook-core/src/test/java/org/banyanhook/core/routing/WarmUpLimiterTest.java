package org.banyanhook.core.routing;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Tests that daemons share the rate limit of a member that is warming up, and only until it ends. */
final class WarmUpLimiterTest {

    private static final long SECOND = 1_000_000_000L;

    private final WarmUpLimiter limiter = new WarmUpLimiter(0);

    @Test
    void memberThatIsNotWarmingUpIsNotLimited() {
        limiter.recordRequest(1, 4, 0);
        assertThat(limiter.allowsRequest(1)).isTrue();
    }

    @Test
    void daemonsShareTheLimitOfAMemberThatIsWarmingUp() {
        limiter.recordRemainingWarmUp(60_000, 0);
        limiter.recordRequest(2, 4, 0);
        assertThat(limiter.allowsRequest(SECOND)).isFalse();
        assertThat(limiter.allowsRequest(2 * SECOND)).isTrue();
    }

    @Test
    void theLimitEndsWithTheWarmUp() {
        limiter.recordRemainingWarmUp(500, 0);
        limiter.recordRequest(0.1, 4, 0);
        assertThat(limiter.allowsRequest(SECOND)).isTrue();
    }

    @Test
    void withoutALimitAMemberThatIsWarmingUpIsNotLimited() {
        limiter.recordRemainingWarmUp(60_000, 0);
        limiter.recordRequest(0, 4, 0);
        assertThat(limiter.allowsRequest(1)).isTrue();
    }

    @Test
    void remainingTimeBeyondTheRangeOfTheClockIsAccepted() {
        limiter.recordRemainingWarmUp(Long.MAX_VALUE, 5);
        limiter.recordRequest(1, 1, 5);
        assertThat(limiter.allowsRequest(6)).isFalse();
    }
}
