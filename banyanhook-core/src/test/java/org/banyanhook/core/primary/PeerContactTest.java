package org.banyanhook.core.primary;

import static com.google.common.truth.Truth.assertThat;

import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class PeerContactTest {

    private static final boolean MAJORITY = true;
    private static final boolean MINORITY = false;
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private final PeerContact contact = new PeerContact();

    @Test
    void allowsUseWhenAMajorityReportsNoReplacement() {
        contact.recordRound(SECOND, MAJORITY, Set.of());
        assertThat(contact.mayUsePrimary("orders", 2 * SECOND)).isTrue();
    }

    @Test
    void refusesWithoutAMajority() {
        contact.recordRound(SECOND, MINORITY, Set.of());
        assertThat(contact.mayUsePrimary("orders", 2 * SECOND)).isFalse();
    }

    @Test
    void refusesAGroupThatOneDaemonReportsInDoubt() {
        contact.recordRound(SECOND, MAJORITY, Set.of("orders"));
        assertThat(contact.mayUsePrimary("orders", 2 * SECOND)).isFalse();
        assertThat(contact.mayUsePrimary("stock", 2 * SECOND)).isTrue();
    }

    @Test
    void appliesAReportReceivedAfterTheLastMajority() {
        contact.recordRound(SECOND, MAJORITY, Set.of());
        contact.recordRound(2 * SECOND, MINORITY, Set.of("orders"));
        assertThat(contact.mayUsePrimary("orders", 2 * SECOND)).isFalse();
        contact.recordRound(3 * SECOND, MAJORITY, Set.of());
        assertThat(contact.mayUsePrimary("orders", 3 * SECOND)).isTrue();
    }

    @Test
    void endsAfterTheContactTimeoutAndAfterASuspension() {
        contact.recordRound(SECOND, MAJORITY, Set.of());
        assertThat(contact.mayUsePrimary("orders", SECOND + PromotionPermission.CONTACT_TIMEOUT_NANOS + 1))
                .isFalse();
        contact.reset();
        assertThat(contact.mayUsePrimary("orders", SECOND)).isFalse();
    }
}
