package org.banyanhook.daemon.membership;

/**
 * An entry VM of the fleet.
 *
 * @param name its name, unique in the fleet
 * @param failureDomain the failure domain that it runs in
 * @param peerAddress the IP number and port of its peer links
 * @param leaving true once it announced that it shuts down; it gets no new work
 */
public record EntryVm(String name, String failureDomain, String peerAddress, boolean leaving) {}
