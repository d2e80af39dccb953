package org.banyanhook.daemon.duty;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Reports to a duty thread that must not be lost when its ring is full.
 *
 * <p>Use it only for reports whose number is bounded by something else, such as the end of work that the duty admitted.
 * The duty takes them before each of its tasks and on its tick. Safe for use by several threads.
 */
public final class ReliableTaskQueue {

    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();

    /**
     * Adds a report and wakes the duty if its ring has room.
     *
     * @param taskLoop the duty that will take it
     * @param task the report
     */
    public void add(TaskLoop taskLoop, Runnable task) {
        tasks.add(task);
        taskLoop.submit(this::runAll);
    }

    /** Runs all reports; call on the duty thread only. */
    public void runAll() {
        Runnable task = tasks.poll();
        while (task != null) {
            task.run();
            task = tasks.poll();
        }
    }
}
