package org.banyanhook.testbed.rate;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Virtual time: runs events in the order of their times. Not safe for use by several threads. */
final class EventQueue {

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::order));
    private long nowNanos;
    private long lastOrder;

    private record Event(long atNanos, long order, Runnable task) {}

    long nowNanos() {
        return nowNanos;
    }

    void after(long delayNanos, Runnable task) {
        events.add(new Event(nowNanos + Math.max(0, delayNanos), ++lastOrder, task));
    }

    /** Runs a task now and then again and again. */
    void every(long intervalNanos, Runnable task) {
        task.run();
        after(intervalNanos, () -> every(intervalNanos, task));
    }

    void runFor(long nanos) {
        long endNanos = nowNanos + nanos;
        while (true) {
            Event next = events.peek();
            if (next == null || next.atNanos() > endNanos) {
                nowNanos = endNanos;
                return;
            }
            events.remove();
            nowNanos = next.atNanos();
            next.task().run();
        }
    }
}
