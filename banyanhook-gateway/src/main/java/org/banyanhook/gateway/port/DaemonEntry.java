package org.banyanhook.gateway.port;

/**
 * What a daemon says of itself to the others.
 *
 * @param entryVm the name of its entry VM
 * @param failureDomain where it runs
 * @param peerAddress the IP number and port for other daemons
 */
public record DaemonEntry(String entryVm, String failureDomain, String peerAddress) {}
