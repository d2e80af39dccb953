package org.banyanhook.daemon.settings;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The settings of the port for other daemons.
 *
 * @param address the IP address and port to listen on, also announced to peers
 * @param seeds the addresses of the peers that are contacted first
 * @param tls the certificates of peer connections, or null for plain TCP
 */
public record PeerSettings(
        String address, List<String> seeds, @Nullable PeerTlsSettings tls) {
    public PeerSettings {
        seeds = ImmutableList.copyOf(seeds);
    }
}
