package org.banyanhook.core.retry;

import static com.google.common.truth.Truth.assertThat;

import org.banyanhook.core.configuration.RouteKind;
import org.banyanhook.core.error.Execution;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against retries of statements that may have run and must not run twice. */
class RetryPolicyTest {

    @ParameterizedTest
    @CsvSource({
        // route, idempotency key, maybe sent before, outcome, budget, action, execution
        "READ, false, false, NOT_SENT, true, RETRY, NOT_RUN",
        "READ, false, false, MAYBE_SENT, true, RETRY_ELSEWHERE, UNKNOWN",
        "READ, false, false, MAYBE_SENT, false, REFUSE, UNKNOWN",
        "READ, false, true, PRIMARY_CHANGED, true, RETRY, UNKNOWN",
        "IDEMPOTENT_WRITE, false, false, MAYBE_SENT, true, REFUSE, UNKNOWN",
        "IDEMPOTENT_WRITE, true, false, MAYBE_SENT, true, RETRY_ELSEWHERE, UNKNOWN",
        "IDEMPOTENT_WRITE, true, true, STATEMENT_REJECTED, true, REFUSE, UNKNOWN",
        "IDEMPOTENT_WRITE, true, true, NO_ROOM, true, RETRY, UNKNOWN",
        "NON_IDEMPOTENT_WRITE, true, false, MAYBE_SENT, true, REFUSE, UNKNOWN",
        "NON_IDEMPOTENT_WRITE, false, false, MAYBE_SENT, true, REFUSE, UNKNOWN",
        "NON_IDEMPOTENT_WRITE, true, false, NOT_SENT, false, RETRY, NOT_RUN",
        "NON_IDEMPOTENT_WRITE, true, false, PRIMARY_CHANGED, false, RETRY, NOT_RUN",
        "NON_IDEMPOTENT_WRITE, true, false, NO_ROOM, false, RETRY, NOT_RUN",
        "NON_IDEMPOTENT_WRITE, true, false, STATEMENT_REJECTED, true, REFUSE, NOT_RUN",
    })
    void retriesOnlyIfTheStatementDidNotRunOrMayBeRepeated(
            RouteKind kind,
            boolean hasKey,
            boolean maybeSentBefore,
            AttemptOutcome outcome,
            boolean budget,
            RetryDecision.Action action,
            Execution execution) {
        RetryDecision decision = RetryPolicy.decideAfterFailure(kind, hasKey, maybeSentBefore, outcome, () -> budget);
        assertThat(decision.action()).isEqualTo(action);
        assertThat(decision.execution()).isEqualTo(execution);
    }
}
