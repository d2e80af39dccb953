package org.banyanhook.gateway.operation;

import java.util.List;

/** The periodic checks of a daemon. One that fails ends neither the others nor the schedule. */
public final class PeriodicChecks {

    private final List<Runnable> checks;
    private final DecisionLog log;

    /**
     * Creates the periodic checks.
     *
     * @param checks the checks in their order
     * @param log receives a line for each check that failed
     */
    public PeriodicChecks(List<Runnable> checks, DecisionLog log) {
        this.checks = List.copyOf(checks);
        this.log = log;
    }

    /** Performs each check once. Throws no exception, since a periodic task that does is not scheduled again. */
    public void perform() {
        for (Runnable check : checks) {
            try {
                check.run();
            } catch (RuntimeException | StackOverflowError exception) {
                log.line("fault").with("reason", exception.toString()).write();
            }
        }
    }
}
