package org.banyanhook.daemon.caller;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.banyanhook.core.error.Execution;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;

/** A request whose reply is not known yet. Safe for use by several threads. */
final class OutstandingRequest {

    private static final Logger LOGGER = LogManager.getLogger(OutstandingRequest.class);
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final String requestId;
    private final CompletableFuture<CallerReply> reply = new CompletableFuture<>();
    private Phase phase = Phase.NOT_RUN;

    private enum Phase {
        NOT_RUN,
        EXECUTING,
        EXECUTING_CHANGE,
        REFUSED
    }

    OutstandingRequest(String requestId) {
        this.requestId = requireNonNull(requestId, "requestId");
    }

    /** Returns the reply; failed with a {@link RefusalException} if the service ended first. */
    CompletableFuture<CallerReply> reply() {
        return reply;
    }

    /**
     * Records that the request is about to be executed.
     *
     * @param operation its operation
     * @param writes true if its route is one of writes
     * @throws RefusalException if the service has ended; the request must not be executed then
     */
    synchronized void startExecution(CallerOperation operation, boolean writes) throws RefusalException {
        requireNonNull(operation, "operation");
        if (phase == Phase.REFUSED) {
            throw notRun();
        }
        boolean mayChangeData =
                operation == CallerOperation.COMMIT || (operation == CallerOperation.STATEMENT && writes);
        phase = mayChangeData ? Phase.EXECUTING_CHANGE : Phase.EXECUTING;
    }

    /** Replies with what is known of the request. Has no effect if its reply is known. */
    void endService() {
        RefusalException refusal = refuse();
        if (reply.completeExceptionally(refusal)) {
            LOGGER.warn(
                    "request {} is in progress at the end of the service; replying {} with execution {}",
                    requestId,
                    refusal.kind().label(),
                    refusal.execution().label());
        }
    }

    private synchronized RefusalException refuse() {
        Phase before = phase;
        phase = Phase.REFUSED;
        return switch (before) {
            case NOT_RUN, REFUSED -> notRun();
            case EXECUTING -> unknown(RefusalKind.ENTRY_VM_DRAINING);
            case EXECUTING_CHANGE -> unknown(RefusalKind.OUTCOME_UNKNOWN);
        };
    }

    private static RefusalException notRun() {
        return RefusalException.notRun(
                RefusalKind.ENTRY_VM_DRAINING, "This entry VM stopped before the request was executed.");
    }

    private static RefusalException unknown(RefusalKind kind) {
        return RefusalException.builder(kind)
                .execution(Execution.UNKNOWN)
                .detail("This entry VM stopped before the execution of the request ended.")
                .retryAfter(RETRY_AFTER)
                .build();
    }
}
