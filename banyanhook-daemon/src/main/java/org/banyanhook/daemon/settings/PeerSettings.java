package org.banyanhook.daemon.settings;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The port for other daemons.
 *
 * @param address the IP number and port to listen on, also told to peers
 * @param seeds the addresses of peers to ask first
 * @param tls the certificates of peer links, or null to use plain TCP
 */
public record PeerSettings(
        String address, List<String> seeds, @Nullable PeerTlsSettings tls) {
    public PeerSettings {
        seeds = ImmutableList.copyOf(seeds);
    }
}
