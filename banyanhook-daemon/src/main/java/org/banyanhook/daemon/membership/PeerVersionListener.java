package org.banyanhook.daemon.membership;

/**
 * Receives the configuration versions that peers report in heartbeats. Implementations must be thread-safe and must not
 * block.
 */
@FunctionalInterface
public interface PeerVersionListener {
    /**
     * Records the versions that a peer reported.
     *
     * @param peerAddress the IP address and port of the peer's connections
     * @param configurationVersion the version of the configuration in force on the peer
     * @param withdrawalCount the digest of the key withdrawals in force on the peer
     */
    void onPeerVersion(String peerAddress, long configurationVersion, long withdrawalCount);
}
