package org.banyanhook.gateway;

import com.google.common.collect.ImmutableMap;
import java.net.InetSocketAddress;
import java.util.Map;
import org.banyanhook.core.admission.ClientLimits;
import org.banyanhook.core.usage.UsageSettings;
import org.jspecify.annotations.Nullable;

/**
 * The settings of a gateway.
 *
 * @param entryVm the name of this entry VM
 * @param failureDomain the failure domain of this entry VM
 * @param regions the region of each failure domain
 * @param clientAddress the listen address for callers
 * @param readinessAddress the listen address for readiness checks
 * @param metricsAddress the listen address for metrics
 * @param peerAddress the listen address for other daemons
 * @param storeAddress the address of the record store
 * @param authorityAddress the address of the service that carries out promotions
 * @param shutdownGraceMillis the grace period of a graceful shutdown, in milliseconds
 * @param evacuationLimitMillis how long members of a failure domain may receive statements after operators have taken
 *     it out, in milliseconds
 * @param clientLimits the limits that protect the daemon from its clients
 * @param usage the bounds of the reports of usage, or null if none are required
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
        long shutdownGraceMillis,
        long evacuationLimitMillis,
        ClientLimits clientLimits,
        @Nullable UsageSettings usage) {
    public GatewaySettings {
        regions = ImmutableMap.copyOf(regions);
    }

    /** Creates settings that require no reports of usage. */
    public GatewaySettings(
            String entryVm,
            String failureDomain,
            Map<String, String> regions,
            InetSocketAddress clientAddress,
            InetSocketAddress readinessAddress,
            InetSocketAddress metricsAddress,
            InetSocketAddress peerAddress,
            InetSocketAddress storeAddress,
            InetSocketAddress authorityAddress,
            long shutdownGraceMillis,
            long evacuationLimitMillis,
            ClientLimits clientLimits) {
        this(
                entryVm,
                failureDomain,
                regions,
                clientAddress,
                readinessAddress,
                metricsAddress,
                peerAddress,
                storeAddress,
                authorityAddress,
                shutdownGraceMillis,
                evacuationLimitMillis,
                clientLimits,
                null);
    }

    /** Returns the region of a failure domain, or the name of the domain if no region is configured. */
    public String regionOf(String failureDomain) {
        return regions.getOrDefault(failureDomain, failureDomain);
    }
}
