package org.banyanhook.core.execution;

import static com.google.common.truth.Truth.assertThat;

import java.util.EnumSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class ExecutionTransitionsTest {

    private static final Set<ExecutionAction> WITHOUT_EFFECT_ON_OTHERS =
            EnumSet.of(ExecutionAction.RETURN_CONNECTION, ExecutionAction.IGNORE);

    /** After a BEGIN that timed out, the execution used to request another connection and to begin there. */
    @Test
    void finishedExecutionOnlyReturnsConnections() {
        for (ExecutionEvent event : ExecutionEvent.values()) {
            assertThat(ExecutionTransitions.decide(ExecutionPhase.FINISHED, event))
                    .isIn(WITHOUT_EFFECT_ON_OTHERS);
        }
    }

    @Test
    void connectionThatArrivesUnexpectedlyIsReturnedInEveryPhase() {
        for (ExecutionPhase phase : ExecutionPhase.values()) {
            if (phase != ExecutionPhase.WAITING_FOR_CONNECTION) {
                assertThat(ExecutionTransitions.decide(phase, ExecutionEvent.CONNECTION_LEASED))
                        .isEqualTo(ExecutionAction.RETURN_CONNECTION);
            }
        }
    }

    @Test
    void everyUnfinishedPhaseEndsAtTheDeadline() {
        for (ExecutionPhase phase : EnumSet.complementOf(EnumSet.of(ExecutionPhase.FINISHED))) {
            assertThat(ExecutionTransitions.decide(phase, ExecutionEvent.DEADLINE_PASSED))
                    .isIn(Set.of(
                            ExecutionAction.WITHDRAW_AND_REPORT,
                            ExecutionAction.CLOSE_AND_REPORT,
                            ExecutionAction.CHECK_PROGRESS));
        }
    }

    @Test
    void connectionWithAnUnansweredCommandIsClosedAtTheDeadline() {
        assertThat(ExecutionTransitions.decide(ExecutionPhase.BEGINNING, ExecutionEvent.DEADLINE_PASSED))
                .isEqualTo(ExecutionAction.CLOSE_AND_REPORT);
        assertThat(ExecutionTransitions.decide(ExecutionPhase.RUNNING, ExecutionEvent.DEADLINE_PASSED))
                .isEqualTo(ExecutionAction.CLOSE_AND_REPORT);
    }

    /** The caller has received a part of the rows. */
    @Test
    void statementIsNotRetriedOnceRowsHaveBeenPassedOn() {
        for (ExecutionEvent event : ExecutionEvent.values()) {
            assertThat(ExecutionTransitions.decide(ExecutionPhase.PASSING_ROWS, event))
                    .isNoneOf(
                            ExecutionAction.REQUEST_CONNECTION,
                            ExecutionAction.EVALUATE_LOSS,
                            ExecutionAction.USE_CONNECTION,
                            ExecutionAction.SEND_STATEMENT);
        }
    }

    @Test
    void statementIsSentOnlyAfterItsTransactionHasBegun() {
        for (ExecutionPhase phase : ExecutionPhase.values()) {
            for (ExecutionEvent event : ExecutionEvent.values()) {
                boolean sends = ExecutionTransitions.decide(phase, event) == ExecutionAction.SEND_STATEMENT;
                assertThat(sends)
                        .isEqualTo(phase == ExecutionPhase.BEGINNING && event == ExecutionEvent.BEGIN_SUCCEEDED);
            }
        }
    }

    @Test
    void statementThatWasSentRunsToCompletionWhenTheCallerLeaves() {
        assertThat(ExecutionTransitions.decide(ExecutionPhase.RUNNING, ExecutionEvent.CALLER_LEFT))
                .isEqualTo(ExecutionAction.IGNORE);
        assertThat(ExecutionTransitions.decide(ExecutionPhase.BEGINNING, ExecutionEvent.CALLER_LEFT))
                .isEqualTo(ExecutionAction.END_SILENTLY);
    }
}
