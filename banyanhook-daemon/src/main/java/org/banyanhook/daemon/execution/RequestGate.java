package org.banyanhook.daemon.execution;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;

/**
 * Counts the operations in progress and refuses new ones once this entry VM drains.
 *
 * <p>An operation that started before {@link #close} is counted until its future completes. Safe for use by several
 * threads.
 */
public final class RequestGate {

    private static final long CLOSED_OFFSET = Long.MIN_VALUE / 2;

    /** The number of operations in progress, plus {@link #CLOSED_OFFSET} once the gate is closed. */
    private final AtomicLong state = new AtomicLong();

    /**
     * An operation that may be refused when it starts.
     *
     * @param <T> the type of its result
     */
    @FunctionalInterface
    public interface Operation<T> {
        /**
         * Starts the operation.
         *
         * @return its result
         * @throws RefusalException if it is refused
         */
        CompletableFuture<T> start() throws RefusalException;
    }

    /**
     * Runs an operation unless the gate is closed.
     *
     * @param operation the operation
     * @param <T> the type of its result
     * @return the result of the operation; failed with a {@link RefusalException} of kind {@code ENTRY_VM_DRAINING} if
     *     the gate is closed
     */
    public <T> CompletableFuture<T> run(Operation<T> operation) {
        if (!tryEnter()) {
            return CompletableFuture.failedFuture(RefusalException.notRun(
                    RefusalKind.ENTRY_VM_DRAINING, "This entry VM is draining and accepts no new requests."));
        }
        return start(operation).whenComplete((result, failure) -> state.decrementAndGet());
    }

    /**
     * Runs and counts an operation even if the gate is closed.
     *
     * @param operation the operation, which belongs to one that started before
     * @param <T> the type of its result
     * @return the result of the operation
     */
    public <T> CompletableFuture<T> runEvenIfClosed(Operation<T> operation) {
        state.incrementAndGet();
        return start(operation).whenComplete((result, failure) -> state.decrementAndGet());
    }

    /** Closes the gate, so that {@link #run} refuses every new operation. Idempotent. */
    public void close() {
        state.updateAndGet(value -> value < 0 ? value : value + CLOSED_OFFSET);
    }

    /** Returns whether the gate is closed. */
    public boolean isClosed() {
        return state.get() < 0;
    }

    /** Returns the number of operations in progress. */
    public long inProgress() {
        long value = state.get();
        return value < 0 ? value - CLOSED_OFFSET : value;
    }

    private boolean tryEnter() {
        long before = state.getAndUpdate(value -> value < 0 ? value : value + 1);
        return before >= 0;
    }

    private static <T> CompletableFuture<T> start(Operation<T> operation) {
        try {
            return operation.start();
        } catch (RefusalException refusal) {
            return CompletableFuture.failedFuture(refusal);
        } catch (RuntimeException exception) {
            return CompletableFuture.failedFuture(exception);
        }
    }
}
