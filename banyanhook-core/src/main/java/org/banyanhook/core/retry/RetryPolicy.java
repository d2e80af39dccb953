package org.banyanhook.core.retry;

import java.util.function.BooleanSupplier;
import org.banyanhook.core.configuration.RouteKind;
import org.banyanhook.core.error.Execution;

/**
 * Decides whether a statement may be sent again.
 *
 * <p>A statement that provably did not run may always be sent again within its deadline. Once a byte may have left,
 * only a read, or an idempotent write under an idempotency key, may be: without a key a delayed first attempt could
 * undo a later write of the same session.
 */
public final class RetryPolicy {

    private RetryPolicy() {}

    /**
     * Decides after a failed attempt.
     *
     * @param kind what the route may do
     * @param hasIdempotencyKey true if the database records the outcome under a key
     * @param maybeSentBefore true if an earlier attempt may have run
     * @param outcome how this attempt ended
     * @param budget takes a retry from the account's budget, asked at most once
     * @return what to do
     */
    public static RetryDecision afterFailure(
            RouteKind kind,
            boolean hasIdempotencyKey,
            boolean maybeSentBefore,
            AttemptOutcome outcome,
            BooleanSupplier budget) {
        Execution execution =
                maybeSentBefore || outcome == AttemptOutcome.MAYBE_SENT ? Execution.UNKNOWN : Execution.NOT_RUN;
        return switch (outcome) {
            case NOT_SENT -> decide(RetryDecision.Action.RETRY, execution, "not sent");
            case PRIMARY_CHANGED -> decide(RetryDecision.Action.RETRY, execution, "primary changed, did not run");
            case NO_ROOM -> decide(RetryDecision.Action.RETRY, execution, "no room, did not run");
            case IDEMPOTENCY_KEY_REUSED ->
                decide(RetryDecision.Action.REFUSE, execution, "idempotency key used with another statement");
            case STATEMENT_REJECTED -> decide(RetryDecision.Action.REFUSE, execution, "statement rejected");
            case MAYBE_SENT -> afterMaybeSent(kind, hasIdempotencyKey, execution, budget);
        };
    }

    private static RetryDecision afterMaybeSent(
            RouteKind kind, boolean hasIdempotencyKey, Execution execution, BooleanSupplier budget) {
        boolean repeatable = kind == RouteKind.READ || (kind == RouteKind.IDEMPOTENT_WRITE && hasIdempotencyKey);
        if (!repeatable) {
            return decide(RetryDecision.Action.REFUSE, execution, "may have run and is not repeatable");
        }
        if (!budget.getAsBoolean()) {
            return decide(RetryDecision.Action.REFUSE, execution, "retry budget of the account is used up");
        }
        return decide(RetryDecision.Action.RETRY_ELSEWHERE, execution, "repeatable, retried under the budget");
    }

    private static RetryDecision decide(RetryDecision.Action action, Execution execution, String reason) {
        return new RetryDecision(action, execution, reason);
    }
}
