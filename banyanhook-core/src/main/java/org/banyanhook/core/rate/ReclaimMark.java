package org.banyanhook.core.rate;

/**
 * A mark on an allotment that an entry VM attempts to reclaim. A holder that still runs removes it.
 *
 * @param entryVm the name of the entry VM that set the mark
 * @param number a number that is unique among the marks of this entry VM
 */
public record ReclaimMark(String entryVm, long number) {}
