package org.banyanhook.daemon.duty;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Reports to a duty thread that must not be lost when its ring is full.
 *
 * <p>Use it only for reports whose number is bounded by something else, such as the end of work that the duty admitted.
 * The duty takes them before each of its tasks and on its tick. Safe for use by several threads.
 */
public final class DutyReports {

    private final Queue<Runnable> reports = new ConcurrentLinkedQueue<>();

    /**
     * Adds a report and wakes the duty if its ring has room.
     *
     * @param duty the duty that will take it
     * @param report the report
     */
    public void add(Duty duty, Runnable report) {
        reports.add(report);
        duty.submit(this::takeAll);
    }

    /** Runs all reports; call on the duty thread only. */
    public void takeAll() {
        Runnable report = reports.poll();
        while (report != null) {
            report.run();
            report = reports.poll();
        }
    }
}
