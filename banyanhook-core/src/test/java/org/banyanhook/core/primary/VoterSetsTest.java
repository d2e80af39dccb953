package org.banyanhook.core.primary;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Set;
import org.junit.jupiter.api.Test;

final class VoterSetsTest {

    private static final Set<String> NOBODY = Set.of();
    private static final Set<String> HALF = Set.of("a", "b");
    private static final Set<String> MAJORITY = Set.of("a", "b", "c");
    private static final Set<String> MINORITY = Set.of("a");
    private static final VoterSets FOUR = new VoterSets(2, Set.of("a", "b", "c", "d"), null);

    @Test
    void halfOfTheVotersDecides() {
        assertThat(FOUR.mayDecide(HALF, NOBODY)).isTrue();
        assertThat(FOUR.mayDecide(MINORITY, NOBODY)).isFalse();
        assertThat(FOUR.mayDecide(Set.of("x", "y", "z"), NOBODY)).isFalse();
    }

    /** Otherwise the other half could decide at the same time. */
    @Test
    void onlyMoreThanHalfOfTheVotersIsReliedOn() {
        assertThat(FOUR.mayRely(MAJORITY, MAJORITY)).isTrue();
        assertThat(FOUR.mayRely(HALF, HALF)).isFalse();
    }

    /** Those without recent contact may have departed for the daemon that decides. */
    @Test
    void votersWithoutRecentContactAreReliedOnOnlyTogetherWithAllOthers() {
        assertThat(FOUR.mayRely(MAJORITY, HALF)).isFalse();
        assertThat(FOUR.mayRely(FOUR.voters(), NOBODY)).isTrue();
    }

    @Test
    void departedVotersCountIfOneOfTheOthersAnswersOrAllHaveDeparted() {
        assertThat(FOUR.mayDecide(MINORITY, Set.of("b"))).isTrue();
        assertThat(FOUR.mayDecide(NOBODY, MAJORITY)).isFalse();
        assertThat(FOUR.mayDecide(NOBODY, FOUR.voters())).isTrue();
    }

    @Test
    void bothSetsCountDuringAChange() {
        VoterSets changing = FOUR.changeTo(Set.of("a", "x"));
        assertThat(changing.mayDecide(MINORITY, NOBODY)).isFalse();
        assertThat(changing.mayDecide(HALF, NOBODY)).isTrue();
        assertThat(changing.mayRely(MAJORITY, MAJORITY)).isFalse();
        assertThat(changing.endChange()).isEqualTo(new VoterSets(4, Set.of("a", "x"), null));
    }

    @Test
    void nobodyIsReliedOnBeforeTheFirstVotersAreInForce() {
        VoterSets first = VoterSets.NONE.changeTo(MINORITY);
        assertThat(VoterSets.NONE.mayRely(MAJORITY, MAJORITY)).isFalse();
        assertThat(first.mayRely(MAJORITY, MAJORITY)).isFalse();
        assertThat(first.mayDecide(MINORITY, NOBODY)).isTrue();
    }

    @Test
    void changesFollowEachOther() {
        VoterSets changing = FOUR.changeTo(HALF);
        assertThrows(IllegalArgumentException.class, () -> changing.changeTo(MAJORITY));
        assertThrows(IllegalArgumentException.class, FOUR::endChange);
        assertThrows(IllegalArgumentException.class, () -> new VoterSets(1, NOBODY, null));
    }
}
