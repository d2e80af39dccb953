package org.banyanhook.core.store;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;

final class StoreRevisionTest {

    /** Guards against a token that falls, or is used twice, when the store counts its revisions from a copy again. */
    @Test
    void tokensRiseInTheOrderOfRevisions() {
        List<StoreRevision> rising = List.of(
                StoreRevision.NONE,
                new StoreRevision(0, 57),
                new StoreRevision(1, 0),
                new StoreRevision(1, 900),
                new StoreRevision(2, 57),
                new StoreRevision(8_191, (1L << 40) - 1));
        assertThat(rising).isInStrictOrder();
        assertThat(rising.stream().map(StoreRevision::fencingToken).toList()).isInStrictOrder();
        rising.forEach(revision -> assertThat(StoreRevision.ofFencingToken(revision.fencingToken()))
                .isEqualTo(revision));
        assertThat(new StoreRevision(0, 57).fencingToken()).isEqualTo(57);
        assertThat(new StoreRevision(8_191, (1L << 40) - 1).fencingToken()).isEqualTo((1L << 53) - 1);
    }

    /** Guards against a token that wraps around and so repeats an earlier one. */
    @Test
    void revisionBeyondTheRangeOfTokensHasNone() {
        assertThrows(IllegalStateException.class, () -> new StoreRevision(8_192, 1).fencingToken());
        assertThrows(IllegalStateException.class, () -> new StoreRevision(1, 1L << 40).fencingToken());
    }
}
