package org.banyanhook.daemon.execution;

import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.banyanhook.core.error.Execution;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;

/** Utilities for refusals in failed futures. */
public final class Refusals {

    private static final Logger LOGGER = LogManager.getLogger(Refusals.class);

    private Refusals() {}

    /**
     * Returns the cause of a failed future.
     *
     * @param failure the failure that a callback of the future received
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
     * Converts a failure to a refusal.
     *
     * @param failure the failure that a callback of the future received
     * @return the refusal that caused the failure, or an {@code INTERNAL_FAULT} with unknown execution
     */
    public static RefusalException from(Throwable failure) {
        Throwable cause = unwrap(failure);
        if (cause instanceof RefusalException refusal) {
            return refusal;
        }
        LOGGER.error("a request failed with an unexpected exception", cause);
        return RefusalException.builder(RefusalKind.INTERNAL_FAULT)
                .execution(Execution.UNKNOWN)
                .detail("Unexpected internal error in the daemon.")
                .cause(cause)
                .build();
    }
}
