package org.banyanhook.core.primary;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import java.util.Set;
import org.banyanhook.core.primary.UnresolvedPromotions.EarlierPromotion;
import org.banyanhook.core.primary.UnresolvedPromotions.RecordedPromotion;
import org.banyanhook.core.replication.LogPosition;
import org.banyanhook.core.store.StoreRevision;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

final class UnresolvedPromotionsTest {

    private static final long LEARNED_NANOS = 1_000;
    private static final LogPosition POSITION = new LogPosition(1, 8);
    private static final RecordedPromotion RECORDED = new RecordedPromotion("b", revision(7), LEARNED_NANOS);

    private final UnresolvedPromotions promotions = new UnresolvedPromotions();

    /** The address of the platform is cut off while a primary is dark, and the primary is back before the end. */
    @Test
    void noOtherMemberIsPromotedWhileARequestIsUnanswered() {
        promotions.recordUnanswered("group", "b", revision(7), POSITION, LEARNED_NANOS);
        assertThat(first(null, Set.of("a", "c"), Long.MAX_VALUE / 2)).hasValue("b");
        promotions.recordAnswer("group");
        assertThat(first(null, Set.of("a", "b"), LEARNED_NANOS)).isEmpty();
    }

    @Test
    void unansweredRequestIsResolvedWhenItsMemberLeads() {
        promotions.recordUnanswered("group", "b", revision(7), POSITION, LEARNED_NANOS);
        promotions.observePrimary("group", "a", null);
        assertThat(first(null, Set.of("a"), LEARNED_NANOS)).hasValue("b");
        promotions.observePrimary("group", "b", null);
        assertThat(first(null, Set.of("a"), LEARNED_NANOS)).isEmpty();
    }

    /** A later replacement by this daemon would otherwise begin with a member that may have fallen behind. */
    @Test
    void unansweredRequestIsResolvedWhenAMemberLeadsThatWasRecordedLater() {
        promotions.recordUnanswered("group", "b", revision(7), POSITION, LEARNED_NANOS);
        promotions.observePrimary("group", "c", new RecordedPromotion("c", revision(6), LEARNED_NANOS));
        assertThat(first(null, Set.of("a"), LEARNED_NANOS)).hasValue("b");
        promotions.observePrimary("group", "c", new RecordedPromotion("c", revision(8), LEARNED_NANOS));
        assertThat(first(null, Set.of("a"), LEARNED_NANOS)).isEmpty();
    }

    /** A daemon takes over from one that has recorded a promotion and may have requested it. */
    @Test
    void recordedPromotionComesFirstUntilItsMemberHasLed() {
        assertThat(first(RECORDED, Set.of("a", "b"), LEARNED_NANOS)).hasValue("b");
        promotions.observePrimary("group", "b", RECORDED);
        assertThat(first(RECORDED, Set.of("a", "b"), LEARNED_NANOS)).isEmpty();
        RecordedPromotion later = new RecordedPromotion("b", revision(8), LEARNED_NANOS);
        assertThat(first(later, Set.of("a", "b"), LEARNED_NANOS)).hasValue("b");
    }

    @Test
    void recordedPromotionOfAMemberThatCannotBePromotedDoesNotBlockOthers() {
        assertThat(first(RECORDED, Set.of("a"), LEARNED_NANOS)).isEmpty();
    }

    @Test
    void recordedPromotionIsIrrelevantAfterAWhile() {
        long last = LEARNED_NANOS + UnresolvedPromotions.RECORD_RELEVANCE_NANOS;
        assertThat(first(RECORDED, Set.of("b"), last - 1)).hasValue("b");
        assertThat(first(RECORDED, Set.of("b"), last)).isEmpty();
    }

    @Test
    void groupsAreIndependent() {
        promotions.recordUnanswered("other", "b", revision(7), POSITION, LEARNED_NANOS);
        assertThat(first(null, Set.of("a", "b"), LEARNED_NANOS)).isEmpty();
    }

    private Optional<String> first(@Nullable RecordedPromotion recorded, Set<String> candidates, long nowNanos) {
        return promotions
                .earlierPromotion("group", recorded, candidates, nowNanos)
                .map(EarlierPromotion::member);
    }

    private static StoreRevision revision(long number) {
        return new StoreRevision(0, number);
    }

    /** Guards against an unanswered request that stays unsettled because the store counts its revisions again. */
    @Test
    void promotionOfALaterEraSettlesAnUnansweredRequest() {
        promotions.recordUnanswered("group", "b", new StoreRevision(1, 57), POSITION, LEARNED_NANOS);
        assertThat(first(null, Set.of("c"), LEARNED_NANOS)).hasValue("b");
        RecordedPromotion later = new RecordedPromotion("c", new StoreRevision(2, 41), LEARNED_NANOS);
        promotions.observePrimary("group", "c", later);
        assertThat(first(later, Set.of("b", "c"), LEARNED_NANOS)).isEmpty();
    }
}
