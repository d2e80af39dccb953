package org.banyanhook.core.key;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against an isolated entry VM that accepts keys although its policy is to refuse them. */
class KeyAdmissionTest {

    @ParameterizedTest
    @CsvSource({
        "REFUSE, true, 0, IN_CONTACT, true",
        "REFUSE, true, 4000, IN_CONTACT, true",
        "REFUSE, true, 4001, CUT_OFF_AND_REFUSING, false",
        "SERVE, true, 4001, CUT_OFF_AND_SERVING, true",
        "REFUSE, false, 4001, NOWHERE_ELSE, true",
        "SERVE, false, 4001, NOWHERE_ELSE, true",
        "REFUSE, true, 9223372036854, CUT_OFF_AND_REFUSING, false",
    })
    void decidesByPolicyAndTimeSinceContact(
            KeyPolicy policy,
            boolean othersInService,
            long millisSinceContact,
            KeyAdmission decision,
            boolean accepts) {
        KeyAdmission decided = KeyAdmission.decide(policy, othersInService, millisSinceContact);

        assertThat(decided).isEqualTo(decision);
        assertThat(decided.acceptsKeys()).isEqualTo(accepts);
        assertThat(decided.reason()).isNotEmpty();
    }
}
