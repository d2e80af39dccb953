package org.banyanhook.core.routing;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class WarmUpLimiterTest {

    private static final long SECOND = 1_000_000_000L;

    private final WarmUpLimiter limit = new WarmUpLimiter(0);

    @Test
    void aWarmMemberIsNotLimited() {
        limit.recordRequest(1, 4, 0);
        assertThat(limit.allowsRequest(1)).isTrue();
    }

    @Test
    void daemonsShareWhatAColdMemberTakes() {
        limit.recordRemainingWarmUp(60_000, 0);
        limit.recordRequest(2, 4, 0);
        assertThat(limit.allowsRequest(SECOND)).isFalse();
        assertThat(limit.allowsRequest(2 * SECOND)).isTrue();
    }

    @Test
    void theLimitEndsWithTheWarmUp() {
        limit.recordRemainingWarmUp(500, 0);
        limit.recordRequest(0.1, 4, 0);
        assertThat(limit.allowsRequest(SECOND)).isTrue();
    }

    @Test
    void withoutALimitAColdMemberTakesAll() {
        limit.recordRemainingWarmUp(60_000, 0);
        limit.recordRequest(0, 4, 0);
        assertThat(limit.allowsRequest(1)).isTrue();
    }
}
