package org.banyanhook.core.routing;

/**
 * An entry VM that may own connections to a database.
 *
 * @param entryVm its name, unique in the fleet
 * @param failureDomain the failure domain that it runs in
 */
public record HomeCandidate(String entryVm, String failureDomain) {}
