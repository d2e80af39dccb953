package org.banyanhook.core.scheduling;

/**
 * What one daemon has learned of a member from its own answers.
 *
 * @param serviceMillis the time of a statement on a member without other work, network included
 * @param knee the number of statements in flight beyond which answers only get slower
 * @param running the statements of the daemon that the member is running or has queued
 * @param answers the number of recent answers, each weighted by its age
 * @param ageNanos how long ago the newest of them arrived
 */
public record CapacityReport(double serviceMillis, double knee, int running, double answers, long ageNanos) {}
