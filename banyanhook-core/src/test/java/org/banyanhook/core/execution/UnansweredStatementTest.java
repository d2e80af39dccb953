package org.banyanhook.core.execution;

import static com.google.common.truth.Truth.assertThat;

import org.banyanhook.core.execution.UnansweredStatement.Scope;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class UnansweredStatementTest {

    /** A caller that is told that nothing was kept runs its write again. */
    @ParameterizedTest
    @CsvSource({
        "false, ALONE, true, NOT_RUN",
        "false, TRANSACTION, true, NOT_RUN",
        "true, ALONE, true, IN_DOUBT",
        "true, ALONE, false, READ",
        "true, TRANSACTION, true, ROLLED_BACK",
        "true, TRANSACTION, false, ROLLED_BACK",
        "true, COMMIT, true, IN_DOUBT",
        "true, COMMIT, false, ROLLED_BACK"
    })
    void onlyWhatCannotHaveBeenKeptIsReportedAsSuch(
            boolean sent, Scope scope, boolean writes, UnansweredStatement known) {
        assertThat(UnansweredStatement.decide(sent, scope, writes)).isEqualTo(known);
    }
}
