package org.banyanhook.core.rate;

/**
 * A mark on an allotment that somebody wants to take back. The holder removes it if it still runs.
 *
 * @param entryVm who set the mark
 * @param number differs for every mark that this entry VM sets
 */
public record ReclaimMark(String entryVm, long number) {}
