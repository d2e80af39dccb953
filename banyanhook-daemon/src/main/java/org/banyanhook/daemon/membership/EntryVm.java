package org.banyanhook.daemon.membership;

/**
 * An entry VM of the fleet.
 *
 * @param name its name, unique in the fleet
 * @param failureDomain the failure domain that it runs in
 * @param peerAddress the IP address and port of its peer connections
 * @param leaving true once it has announced its shutdown; it receives no new requests
 */
public record EntryVm(String name, String failureDomain, String peerAddress, boolean leaving) {}
