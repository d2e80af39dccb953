package org.banyanhook.core.usage;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The bounds within which usage has to be reported.
 *
 * @param windowMillis the length of a window, in milliseconds
 * @param tolerance the permitted relative error of each count
 * @param lateMillis how long after the end of its window a report is due, in milliseconds
 * @param leaseMillis the time within which two holders of the duty must not alternate, in milliseconds
 * @param reportsPerSecond the number of report calls that the platform accepts in a second
 */
public record UsageSettings(
        long windowMillis, double tolerance, long lateMillis, long leaseMillis, double reportsPerSecond) {

    public UsageSettings {
        checkArgument(windowMillis > 0, "windowMillis must be positive, was %s", windowMillis);
        checkArgument(tolerance >= 0, "tolerance must not be negative, was %s", tolerance);
        checkArgument(lateMillis > 0, "lateMillis must be positive, was %s", lateMillis);
        checkArgument(leaseMillis > 0, "leaseMillis must be positive, was %s", leaseMillis);
        checkArgument(reportsPerSecond > 0, "reportsPerSecond must be positive, was %s", reportsPerSecond);
    }
}
