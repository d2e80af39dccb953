package org.banyanhook.testbed.soak;

import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import org.banyanhook.testbed.line.GatewayFleet;

/** What happens to a fleet while callers use it. */
enum SoakScenario {
    /** Faults of processes, links, members and the store, at any moment. */
    FAULTS,
    /** Planned work in series that overlap: stops, switchovers, withdrawn keys, domains taken out, configurations. */
    PLANNED_WORK;

    /** What was scheduled for a run. */
    interface Schedule {
        /**
         * Schedules everything for a period. Each part ends no later than the end of the period.
         *
         * @param durationMillis the length of the period
         */
        void start(long durationMillis);

        /** Returns descriptions in order of their start, with start time and duration in milliseconds. */
        List<String> descriptions();
    }

    /** Creates the schedule of a seed. */
    Schedule newSchedule(GatewayFleet fleet, SoakLinks links, long seed, ScheduledExecutorService scheduler) {
        return this == FAULTS ? new SoakFaults(fleet, links, seed, scheduler) : new PlannedWork(fleet, seed, scheduler);
    }

    /** Creates a caller. */
    Runnable newCaller(SoakCaller.Setting setting) {
        return this == FAULTS ? new SoakCaller(setting) : new PatientCaller(setting);
    }
}
