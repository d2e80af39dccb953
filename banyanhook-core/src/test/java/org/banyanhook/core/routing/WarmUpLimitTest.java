package org.banyanhook.core.routing;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class WarmUpLimitTest {

    private static final long SECOND = 1_000_000_000L;

    private final WarmUpLimit limit = new WarmUpLimit(0);

    @Test
    void aWarmMemberIsNotLimited() {
        limit.count(1, 4, 0);
        assertThat(limit.allows(1)).isTrue();
    }

    @Test
    void daemonsShareWhatAColdMemberTakes() {
        limit.observe(60_000, 0);
        limit.count(2, 4, 0);
        assertThat(limit.allows(SECOND)).isFalse();
        assertThat(limit.allows(2 * SECOND)).isTrue();
    }

    @Test
    void theLimitEndsWithTheWarmUp() {
        limit.observe(500, 0);
        limit.count(0.1, 4, 0);
        assertThat(limit.allows(SECOND)).isTrue();
    }

    @Test
    void withoutALimitAColdMemberTakesAll() {
        limit.observe(60_000, 0);
        limit.count(0, 4, 0);
        assertThat(limit.allows(1)).isTrue();
    }
}
