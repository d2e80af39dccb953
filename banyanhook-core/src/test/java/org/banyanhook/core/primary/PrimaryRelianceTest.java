package org.banyanhook.core.primary;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class PrimaryRelianceTest {

    @Test
    void workContinuesAtTheKnownOrRecordedPrimary() {
        assertThat(PrimaryReliance.decide("a", null, "a", false, false)).isEqualTo(PrimaryReliance.CONTINUES);
        assertThat(PrimaryReliance.decide("a", "a", null, false, false)).isEqualTo(PrimaryReliance.CONTINUES);
    }

    /** Entries of members expire while the store is unavailable. */
    @Test
    void workContinuesWhileNoPrimaryIsKnown() {
        assertThat(PrimaryReliance.decide("a", null, null, false, false)).isEqualTo(PrimaryReliance.CONTINUES);
    }

    @Test
    void recordOfAnotherMemberEndsTheWorkEvenIfTheOldOneIsStillKnownAsPrimary() {
        assertThat(PrimaryReliance.decide("a", "b", "a", false, false))
                .isEqualTo(PrimaryReliance.OTHER_MEMBER_RECORDED);
    }

    @Test
    void otherReasonsEndTheWork() {
        assertThat(PrimaryReliance.decide("a", null, "b", false, false)).isEqualTo(PrimaryReliance.OTHER_MEMBER_LEADS);
        assertThat(PrimaryReliance.decide("a", "a", null, true, false))
                .isEqualTo(PrimaryReliance.NOT_PRIMARY_BY_ITS_OWN_REPORT);
        assertThat(PrimaryReliance.decide("a", "a", "a", false, true)).isEqualTo(PrimaryReliance.RESTARTED);
    }
}
