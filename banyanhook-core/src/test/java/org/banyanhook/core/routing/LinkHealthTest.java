package org.banyanhook.core.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class LinkHealthTest {

    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private static final String MEMBER = "member";

    private final LinkHealth link = new LinkHealth();

    /** Guards against a deadline that is late at the home, so that commands run after it. */
    @Test
    void convertedTimeIsNeverLater() {
        long readAtHome = 5_000;
        long answeredNanos = 7 * SECOND;
        link.recordAnswer(1, readAtHome, answeredNanos);
        // The clock of the home was read before the answer arrived, so it shows at least this much at the same moment.
        long atHomeAtLeast = readAtHome + SECOND;
        assertThat(link.toPeerClock(answeredNanos + SECOND, answeredNanos + SECOND))
                .isEqualTo(OptionalLong.of(atHomeAtLeast));
    }

    /** Guards against deadlines on a clock that was never read. */
    @Test
    void timeIsNotConvertedWithoutAReading() {
        assertThat(link.toPeerClock(0, 0)).isEqualTo(OptionalLong.empty());
    }

    /** Guards against a link that is never used again after it has failed once. */
    @Test
    void failedLinkIsProbedAndUsedAgainAfterAnAnswer() {
        link.recordFailure();
        assertThat(link.isUsable(MEMBER, 0)).isFalse();
        assertThat(link.isProbeDue(0)).isTrue();
        link.recordProbe(0);
        assertThat(link.isProbeDue(1)).isFalse();
        link.recordAnswer(1, 0, 2);
        assertThat(link.isUsable(MEMBER, 3)).isTrue();
        assertThat(link.isVerified(3)).isTrue();
        assertThat(link.isVerified(2 * SECOND)).isFalse();
    }

    /** Guards against statements that are sent again and again to a home that is being stopped. */
    @Test
    void homeThatRefusedIsAvoidedForAWhile() {
        link.recordAnswer(1, 0, 0);
        link.recordRefusal(MEMBER, 0);
        assertThat(link.isUsable(MEMBER, 1)).isFalse();
        assertThat(link.isUsable("other", 1)).isTrue();
        assertThat(link.isUsable(MEMBER, SECOND)).isTrue();
    }
}
