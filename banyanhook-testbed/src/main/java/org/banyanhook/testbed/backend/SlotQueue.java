package org.banyanhook.testbed.backend;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Runs a few statements at a time, each for a given time; others wait in order. Safe for use by several threads. */
final class SlotQueue {

    private final Deque<Runnable> waiting = new ArrayDeque<>();
    private int freeSlots;

    SlotQueue(int slots) {
        freeSlots = slots;
    }

    /**
     * Runs work in a slot.
     *
     * @param durationMicros how long the slot is taken before the work runs
     * @param work the work, run at the end of that time
     * @return its result
     */
    <T> CompletableFuture<T> run(long durationMicros, Supplier<T> work) {
        CompletableFuture<T> result = new CompletableFuture<>();
        enter(() -> CompletableFuture.runAsync(
                        () -> complete(result, work),
                        CompletableFuture.delayedExecutor(durationMicros, TimeUnit.MICROSECONDS))
                .whenComplete((done, failure) -> leave()));
        return result;
    }

    private void enter(Runnable start) {
        synchronized (this) {
            if (freeSlots == 0) {
                waiting.addLast(start);
                return;
            }
            freeSlots--;
        }
        start.run();
    }

    private void leave() {
        Runnable next;
        synchronized (this) {
            next = waiting.pollFirst();
            if (next == null) {
                freeSlots++;
                return;
            }
        }
        next.run();
    }

    private static <T> void complete(CompletableFuture<T> result, Supplier<T> work) {
        try {
            result.complete(work.get());
        } catch (RuntimeException exception) {
            result.completeExceptionally(exception);
        }
    }
}
