package org.banyanhook.gateway;

import com.google.common.collect.ImmutableMap;
import java.net.InetSocketAddress;
import java.util.Map;

/**
 * The settings of one gateway.
 *
 * @param entryVm the name of this entry VM
 * @param failureDomain where it runs
 * @param regions the region of each failure domain
 * @param clientAddress where callers connect
 * @param readinessAddress where readiness is asked for
 * @param metricsAddress where metrics are served
 * @param peerAddress where other daemons connect
 * @param storeAddress where the store answers
 * @param authorityAddress where promotions are ordered
 * @param shutdownGraceMillis how long a graceful shutdown may take
 */
public record GatewaySettings(
        String entryVm,
        String failureDomain,
        Map<String, String> regions,
        InetSocketAddress clientAddress,
        InetSocketAddress readinessAddress,
        InetSocketAddress metricsAddress,
        InetSocketAddress peerAddress,
        InetSocketAddress storeAddress,
        InetSocketAddress authorityAddress,
        long shutdownGraceMillis) {
    public GatewaySettings {
        regions = ImmutableMap.copyOf(regions);
    }

    /** Returns the region of a failure domain, or its own name if the settings name none. */
    public String regionOf(String failureDomain) {
        return regions.getOrDefault(failureDomain, failureDomain);
    }
}
