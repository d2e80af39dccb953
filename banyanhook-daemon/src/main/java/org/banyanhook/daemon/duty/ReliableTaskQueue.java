package org.banyanhook.daemon.duty;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * An unbounded queue of tasks for a {@link TaskLoop} that must not be lost while its ring buffer is full.
 *
 * <p>Use it only for tasks whose number is limited otherwise, such as the completions of requests that the owner of the
 * loop has admitted. The owner calls {@link #runAll()} on the loop's thread before each of its own tasks and on each
 * tick. Thread-safe.
 */
public final class ReliableTaskQueue {

    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();

    /**
     * Adds a task and wakes the task loop if its ring buffer has capacity.
     *
     * @param taskLoop the task loop that runs the task
     * @param task the task
     */
    public void add(TaskLoop taskLoop, Runnable task) {
        tasks.add(task);
        taskLoop.submit(this::runAll);
    }

    /** Runs all queued tasks. Must be called on the thread of the task loop only. */
    public void runAll() {
        Runnable task = tasks.poll();
        while (task != null) {
            task.run();
            task = tasks.poll();
        }
    }
}
