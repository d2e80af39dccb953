package org.banyanhook.core.primary;

import static com.google.common.truth.Truth.assertThat;

import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.banyanhook.core.primary.PromotionPermission.VoteTally;
import org.junit.jupiter.api.Test;

final class PeerContactTest {

    private static final VoteTally MAJORITY = new VoteTally(8, 0, 4);
    private static final VoteTally MINORITY = new VoteTally(8, 0, 3);
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private final PeerContact contact = new PeerContact();

    @Test
    void aMajorityThatKnowsOfNoReplacementIsEnough() {
        contact.observe(SECOND, MAJORITY, Set.of());
        assertThat(contact.mayUse("orders", 2 * SECOND)).isTrue();
    }

    @Test
    void neverWithoutAMajority() {
        contact.observe(SECOND, MINORITY, Set.of());
        assertThat(contact.mayUse("orders", 2 * SECOND)).isFalse();
    }

    @Test
    void aMajorityOfWhichOneAgreedToAReplacementIsNot() {
        contact.observe(SECOND, MAJORITY, Set.of("orders"));
        assertThat(contact.mayUse("orders", 2 * SECOND)).isFalse();
        assertThat(contact.mayUse("stock", 2 * SECOND)).isTrue();
    }

    @Test
    void aDoubtHeardAfterTheLastMajorityCountsToo() {
        contact.observe(SECOND, MAJORITY, Set.of());
        contact.observe(2 * SECOND, MINORITY, Set.of("orders"));
        assertThat(contact.mayUse("orders", 2 * SECOND)).isFalse();
        contact.observe(3 * SECOND, MAJORITY, Set.of());
        assertThat(contact.mayUse("orders", 3 * SECOND)).isTrue();
    }

    @Test
    void endsAfterTheContactBoundAndAfterASuspension() {
        contact.observe(SECOND, MAJORITY, Set.of());
        assertThat(contact.mayUse("orders", SECOND + PromotionPermission.CONTACT_NANOS + 1))
                .isFalse();
        contact.forget();
        assertThat(contact.mayUse("orders", SECOND)).isFalse();
    }
}
