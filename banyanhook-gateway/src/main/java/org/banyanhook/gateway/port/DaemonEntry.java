package org.banyanhook.gateway.port;

/**
 * The entry that a daemon publishes for the other daemons.
 *
 * @param entryVm the name of its entry VM
 * @param failureDomain the failure domain in which it runs
 * @param peerAddress the IP address and port for connections from other daemons
 */
public record DaemonEntry(String entryVm, String failureDomain, String peerAddress) {}
