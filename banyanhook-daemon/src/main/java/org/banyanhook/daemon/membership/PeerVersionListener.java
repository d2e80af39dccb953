package org.banyanhook.daemon.membership;

/** Is told the versions that a peer has, with every heartbeat. */
@FunctionalInterface
public interface PeerVersionListener {
    /**
     * Called on the membership thread; must not block.
     *
     * @param peerAddress the IP number and port of the peer
     * @param configurationVersion the configuration version that the peer has
     * @param withdrawalCount how many withdrawn keys the peer knows
     */
    void onPeerVersion(String peerAddress, long configurationVersion, long withdrawalCount);
}
