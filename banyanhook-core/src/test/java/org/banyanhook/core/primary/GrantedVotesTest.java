package org.banyanhook.core.primary;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.banyanhook.core.store.StoreRevision;
import org.junit.jupiter.api.Test;

final class GrantedVotesTest {

    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long LONG_AGO_NANOS = -SECOND * 1_000;
    private static final long AFTER_LIFETIME_NANOS = 2 * SECOND + GrantedVotes.VOTE_LIFETIME_NANOS + 1;

    private final GrantedVotes votes = new GrantedVotes();

    @Test
    void noGroupIsInDoubtWithoutAVote() {
        assertThat(votes.groupsInDoubt(group -> revision(0), LONG_AGO_NANOS)).isEmpty();
    }

    @Test
    void groupIsInDoubtUntilThePromotionIsRecorded() {
        votes.recordVote("orders", revision(7), 2 * SECOND);
        assertThat(votes.groupsInDoubt(group -> revision(7), 3 * SECOND)).containsExactly("orders");
        assertThat(votes.groupsInDoubt(group -> revision(8), 3 * SECOND)).isEmpty();
    }

    @Test
    void voteExpiresOnlyOnStoreContactAfterItsLifetime() {
        votes.recordVote("orders", revision(7), 2 * SECOND);
        assertThat(votes.groupsInDoubt(group -> revision(7), AFTER_LIFETIME_NANOS - 1))
                .containsExactly("orders");
        assertThat(votes.groupsInDoubt(group -> revision(7), AFTER_LIFETIME_NANOS))
                .isEmpty();
    }

    private static StoreRevision revision(long number) {
        return new StoreRevision(0, number);
    }
}
