package org.banyanhook.core.session;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.banyanhook.core.replication.LogPosition;
import org.junit.jupiter.api.Test;

final class SessionTokenTest {

    @Test
    void keepsTheHighestPositionOfEachDatabase() {
        SessionToken token = SessionToken.start("plant")
                .with("inject-1", new LogPosition(2, 5))
                .with("inject-1", new LogPosition(1, 900));
        assertThat(token.position("inject-1")).isEqualTo(new LogPosition(2, 5));
        assertThat(token.position("inject-2")).isEqualTo(LogPosition.START);
    }

    @Test
    void mergeNeverLowersAPosition() {
        SessionToken first = SessionToken.start("plant").with("a", new LogPosition(1, 5));
        SessionToken second =
                SessionToken.start("plant").with("a", new LogPosition(1, 3)).with("b", new LogPosition(1, 1));
        assertThat(first.merge(second)).isEqualTo(second.merge(first));
        assertThat(first.merge(second).position("a")).isEqualTo(new LogPosition(1, 5));
    }

    @Test
    void refusesToMergeAcrossAccounts() {
        assertThrows(
                IllegalArgumentException.class, () -> SessionToken.start("a").merge(SessionToken.start("b")));
    }

    @Test
    void textHidesTheClientAccount() {
        assertThat(SessionToken.start("plant").with("a", new LogPosition(1, 5)).toString())
                .doesNotContain("plant");
    }
}
