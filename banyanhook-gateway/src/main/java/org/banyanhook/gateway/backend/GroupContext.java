package org.banyanhook.gateway.backend;

import io.netty.channel.EventLoopGroup;
import org.banyanhook.gateway.GatewaySettings;
import org.banyanhook.gateway.fleet.FleetDirectory;
import org.banyanhook.gateway.operation.DecisionLog;
import org.banyanhook.gateway.operation.GatewayMetrics;
import org.banyanhook.gateway.operation.SteadyClock;
import org.banyanhook.gateway.port.SessionCodec;
import org.banyanhook.gateway.primary.PrimaryAccessPolicy;

/**
 * What all database groups share.
 *
 * @param settings the settings of the gateway
 * @param directory what is known of the fleet
 * @param eventLoops where connections run
 * @param primaryAccess tells whether primaries may be used
 * @param codec translates the messages to and from members
 * @param clock the monotonic clock
 * @param log receives a line for each change of what is believed
 * @param metrics counts connections
 */
public record GroupContext(
        GatewaySettings settings,
        FleetDirectory directory,
        EventLoopGroup eventLoops,
        PrimaryAccessPolicy primaryAccess,
        SessionCodec codec,
        SteadyClock clock,
        DecisionLog log,
        GatewayMetrics metrics) {}
