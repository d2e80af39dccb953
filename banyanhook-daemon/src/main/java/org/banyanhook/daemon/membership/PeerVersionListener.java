package org.banyanhook.daemon.membership;

/**
 * Learns from heartbeats what is in force on other entry VMs. Must be safe for use by several threads and not block.
 */
@FunctionalInterface
public interface PeerVersionListener {
    /**
     * Takes note of what a peer said.
     *
     * @param peerAddress the IP number and port of the peer's links
     * @param configurationVersion the version of the configuration in force there
     * @param withdrawalCount the digest of the withdrawals in force there
     */
    void onPeerVersion(String peerAddress, long configurationVersion, long withdrawalCount);
}
