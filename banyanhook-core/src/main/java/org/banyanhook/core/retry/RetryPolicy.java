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
     * @param acquireRetry takes a retry from the account's budget, asked at most once
     * @return what to do
     */
    public static RetryDecision decideAfterFailure(
            RouteKind kind,
            boolean hasIdempotencyKey,
            boolean maybeSentBefore,
            AttemptOutcome outcome,
            BooleanSupplier acquireRetry) {
        Execution execution =
                maybeSentBefore || outcome == AttemptOutcome.MAYBE_SENT ? Execution.UNKNOWN : Execution.NOT_RUN;
        return switch (outcome) {
            case NOT_SENT -> decision(RetryDecision.Action.RETRY, execution, "not sent");
            case PRIMARY_CHANGED -> decision(RetryDecision.Action.RETRY, execution, "primary changed, did not run");
            case NO_ROOM -> decision(RetryDecision.Action.RETRY, execution, "no room, did not run");
            case IDEMPOTENCY_KEY_REUSED ->
                decision(RetryDecision.Action.REFUSE, execution, "idempotency key used with another statement");
            case STATEMENT_REJECTED -> decision(RetryDecision.Action.REFUSE, execution, "statement rejected");
            case MAYBE_SENT -> decideAfterMaybeSent(kind, hasIdempotencyKey, execution, acquireRetry);
        };
    }

    private static RetryDecision decideAfterMaybeSent(
            RouteKind kind, boolean hasIdempotencyKey, Execution execution, BooleanSupplier acquireRetry) {
        boolean repeatable = kind == RouteKind.READ || (kind == RouteKind.IDEMPOTENT_WRITE && hasIdempotencyKey);
        if (!repeatable) {
            return decision(RetryDecision.Action.REFUSE, execution, "may have run and is not repeatable");
        }
        if (!acquireRetry.getAsBoolean()) {
            return decision(RetryDecision.Action.REFUSE, execution, "retry budget of the account is used up");
        }
        return decision(RetryDecision.Action.RETRY_ELSEWHERE, execution, "repeatable, retried under the budget");
    }

    private static RetryDecision decision(RetryDecision.Action action, Execution execution, String reason) {
        return new RetryDecision(action, execution, reason);
    }
}
