package org.banyanhook.testbed.capacity;

/**
 * What one operation cost at one size.
 *
 * @param size how many peers, databases or accounts the state held
 * @param processorNanos processor time of one operation in nanoseconds
 * @param stateBytes heap that the state retained, in bytes
 * @param messageBytes encoded size of the messages that one operation sends, in bytes
 */
public record Sample(long size, double processorNanos, double stateBytes, double messageBytes) {}
