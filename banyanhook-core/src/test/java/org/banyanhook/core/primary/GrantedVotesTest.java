package org.banyanhook.core.primary;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class GrantedVotesTest {

    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long LONG_AGO = -SECOND * 1_000;
    private static final long AFTER_LIFETIME = 2 * SECOND + GrantedVotes.VOTE_LIFETIME_NANOS + 1;

    private final GrantedVotes grants = new GrantedVotes();

    @Test
    void nothingIsInDoubtBeforeAnAgreement() {
        assertThat(grants.inDoubtGroups(group -> 0, LONG_AGO)).isEmpty();
    }

    @Test
    void anAgreementIsToldUntilThePromotionIsOnRecord() {
        grants.record("orders", 7, 2 * SECOND);
        assertThat(grants.inDoubtGroups(group -> 7, 3 * SECOND)).containsExactly("orders");
        assertThat(grants.inDoubtGroups(group -> 8, 3 * SECOND)).isEmpty();
    }

    @Test
    void anAgreementEndsOnlyByContactWithTheStoreAfterItsLifetime() {
        grants.record("orders", 7, 2 * SECOND);
        assertThat(grants.inDoubtGroups(group -> 7, AFTER_LIFETIME - 1)).containsExactly("orders");
        assertThat(grants.inDoubtGroups(group -> 7, AFTER_LIFETIME)).isEmpty();
    }
}
