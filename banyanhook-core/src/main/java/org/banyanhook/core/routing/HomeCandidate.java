package org.banyanhook.core.routing;

/**
 * An entry VM that may be chosen as a home of a database, and then owns connections to it.
 *
 * @param entryVm the name of the entry VM, unique in the fleet
 * @param failureDomain the failure domain that the entry VM runs in
 */
public record HomeCandidate(String entryVm, String failureDomain) {}
