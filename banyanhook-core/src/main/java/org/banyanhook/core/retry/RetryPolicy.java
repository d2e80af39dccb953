package org.banyanhook.core.retry;

import java.util.function.BooleanSupplier;
import org.banyanhook.core.configuration.RouteKind;
import org.banyanhook.core.error.Execution;

/**
 * Decides whether a statement is retried after a failed attempt.
 *
 * <p>A statement that provably did not run may always be retried within its deadline. Once a byte may have been sent,
 * only a read or an idempotent write with an idempotency key may be retried: without a key, a delayed first attempt
 * could overwrite a later write of the same session.
 */
public final class RetryPolicy {

    private RetryPolicy() {}

    /**
     * Decides how to continue after a failed attempt.
     *
     * @param kind the kind of the route
     * @param hasIdempotencyKey true if the database records the outcome under an idempotency key
     * @param maybeSentBefore true if an earlier attempt may have run
     * @param outcome the outcome of this attempt
     * @param acquireRetry takes a retry from the account's budget; called at most once
     * @return the decision
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
            case NOT_SENT -> decision(RetryDecision.Action.RETRY, execution, "the statement was not sent");
            case PRIMARY_CHANGED ->
                decision(RetryDecision.Action.RETRY, execution, "the primary changed; the statement did not run");
            case NO_ROOM ->
                decision(
                        RetryDecision.Action.RETRY, execution, "the member had no capacity; the statement did not run");
            case IDEMPOTENCY_KEY_REUSED ->
                decision(
                        RetryDecision.Action.REFUSE,
                        execution,
                        "the idempotency key was already used with another statement");
            case STATEMENT_REJECTED ->
                decision(RetryDecision.Action.REFUSE, execution, "the member rejected the statement");
            case MAYBE_SENT -> decideAfterMaybeSent(kind, hasIdempotencyKey, execution, acquireRetry);
        };
    }

    private static RetryDecision decideAfterMaybeSent(
            RouteKind kind, boolean hasIdempotencyKey, Execution execution, BooleanSupplier acquireRetry) {
        boolean repeatable = kind == RouteKind.READ || (kind == RouteKind.IDEMPOTENT_WRITE && hasIdempotencyKey);
        if (!repeatable) {
            return decision(
                    RetryDecision.Action.REFUSE, execution, "the statement may have run and must not be repeated");
        }
        if (!acquireRetry.getAsBoolean()) {
            return decision(RetryDecision.Action.REFUSE, execution, "the retry budget of the account is exhausted");
        }
        return decision(
                RetryDecision.Action.RETRY_ELSEWHERE,
                execution,
                "the statement may be repeated and the retry budget allows it");
    }

    private static RetryDecision decision(RetryDecision.Action action, Execution execution, String reason) {
        return new RetryDecision(action, execution, reason);
    }
}
