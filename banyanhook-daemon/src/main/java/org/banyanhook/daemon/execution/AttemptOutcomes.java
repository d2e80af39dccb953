package org.banyanhook.daemon.execution;

import org.banyanhook.core.error.RefusalKind;
import org.banyanhook.core.retry.AttemptOutcome;
import org.banyanhook.daemon.backend.BackendErrorCodes;
import org.banyanhook.daemon.backend.BackendException;

/** Maps backend server failures to attempt outcomes, and attempt outcomes to refusal kinds. */
final class AttemptOutcomes {

    private AttemptOutcomes() {}

    static AttemptOutcome of(BackendException failure) {
        return switch (failure.kind()) {
            case NOT_SENT -> AttemptOutcome.NOT_SENT;
            case MAYBE_SENT -> AttemptOutcome.MAYBE_SENT;
            case REFUSED -> ofRefusal(failure);
        };
    }

    static RefusalKind refusalKind(AttemptOutcome outcome) {
        return switch (outcome) {
            case NOT_SENT, NO_ROOM -> RefusalKind.BACKEND_UNAVAILABLE;
            case PRIMARY_CHANGED -> RefusalKind.PRIMARY_CHANGED;
            case STATEMENT_REJECTED -> RefusalKind.STATEMENT_REJECTED;
            case IDEMPOTENCY_KEY_REUSED -> RefusalKind.IDEMPOTENCY_KEY_REUSED;
            case MAYBE_SENT -> RefusalKind.OUTCOME_UNKNOWN;
        };
    }

    private static AttemptOutcome ofRefusal(BackendException failure) {
        if (failure.primaryChanged()) {
            return AttemptOutcome.PRIMARY_CHANGED;
        }
        return switch (failure.errorCode()) {
            case BackendErrorCodes.TOO_MANY_CONNECTIONS -> AttemptOutcome.NO_ROOM;
            case BackendErrorCodes.IDEMPOTENCY_KEY_REUSED -> AttemptOutcome.IDEMPOTENCY_KEY_REUSED;
            default -> AttemptOutcome.STATEMENT_REJECTED;
        };
    }
}
