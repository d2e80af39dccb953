package org.banyanhook.daemon.execution;

import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.banyanhook.core.error.Execution;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;

/** Helpers for refusals that travel in futures. */
public final class Refusals {

    private static final Logger LOGGER = LogManager.getLogger(Refusals.class);

    private Refusals() {}

    /**
     * Finds what failed a future.
     *
     * @param failure what a future's callback received
     * @return the exception without the wrappers that futures add
     */
    public static Throwable unwrap(Throwable failure) {
        Throwable current = failure;
        while ((current instanceof CompletionException || current instanceof ExecutionException)
                && current.getCause() != null) {
            current = current.getCause();
        }
        return current;
    }

    /**
     * Turns any failure into a refusal.
     *
     * @param failure what a future's callback received
     * @return the refusal itself, or an internal fault whose execution is unknown
     */
    public static RefusalException from(Throwable failure) {
        Throwable cause = unwrap(failure);
        if (cause instanceof RefusalException refusal) {
            return refusal;
        }
        LOGGER.error("a request failed for a reason that is no refusal", cause);
        return RefusalException.builder(RefusalKind.INTERNAL_FAULT)
                .execution(Execution.UNKNOWN)
                .detail("The daemon met an unexpected fault.")
                .cause(cause)
                .build();
    }
}
