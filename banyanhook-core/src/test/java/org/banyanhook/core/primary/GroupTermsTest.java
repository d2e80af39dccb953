package org.banyanhook.core.primary;

import static com.google.common.truth.Truth.assertThat;

import org.banyanhook.core.primary.GroupTerms.KnownTerm;
import org.banyanhook.core.primary.GroupTerms.Source;
import org.junit.jupiter.api.Test;

final class GroupTermsTest {

    private final GroupTerms terms = new GroupTerms();

    /** A primary that has not committed since its promotion reports a position of the term before. */
    @Test
    void commandToStepDownUsesATermAboveTheOneThatIsLed() {
        terms.recordLogged("primary", 1, 100);
        assertThat(terms.termAbove(2)).isEqualTo(3);
        terms.recordHeld("primary", 2, 200);
        assertThat(terms.termAbove(0)).isEqualTo(3);
    }

    @Test
    void termHeldDoesNotCountAsTermOfALog() {
        terms.recordLogged("primary", 1, 100);
        terms.recordHeld("primary", 2, 200);
        assertThat(terms.highestLoggedTerm()).isEqualTo(1);
        assertThat(terms.newest()).isEqualTo(new KnownTerm(2, Source.STATUS, "primary", 200));
    }

    @Test
    void newestTermTellsWhoReportedItFirst() {
        assertThat(terms.newest().source()).isEqualTo(Source.NONE);
        assertThat(terms.recordLogged("replica", 3, 100)).isTrue();
        assertThat(terms.recordLogged("primary", 3, 200)).isFalse();
        terms.recordHeld("other", 2, 300);
        assertThat(terms.newest()).isEqualTo(new KnownTerm(3, Source.LOG_POSITION, "replica", 100));
    }

    @Test
    void olderTermsAreIgnored() {
        terms.recordLogged("primary", 4, 100);
        assertThat(terms.recordLogged("returned", 2, 200)).isFalse();
        terms.recordHeld("returned", 2, 200);
        assertThat(terms.termAbove(2)).isEqualTo(5);
    }
}
