package org.banyanhook.gateway.backend;

import io.netty.channel.EventLoopGroup;
import org.banyanhook.gateway.GatewaySettings;
import org.banyanhook.gateway.fleet.FleetDirectory;
import org.banyanhook.gateway.operation.DecisionLog;
import org.banyanhook.gateway.operation.GatewayMetrics;
import org.banyanhook.gateway.operation.MonotonicClock;
import org.banyanhook.gateway.port.SessionCodec;
import org.banyanhook.gateway.primary.PrimaryAccessPolicy;

/**
 * The dependencies that all database groups share.
 *
 * @param settings the settings of the gateway
 * @param directory the known state of the fleet
 * @param eventLoops the event loops of the connections
 * @param primaryAccess decides whether primaries may be used
 * @param codec decodes the reports of members
 * @param connector establishes connections to members
 * @param homes reaches members through their homes
 * @param clock the monotonic clock
 * @param log receives a line for each change of the known state
 * @param metrics counts connections
 */
public record GroupContext(
        GatewaySettings settings,
        FleetDirectory directory,
        EventLoopGroup eventLoops,
        PrimaryAccessPolicy primaryAccess,
        SessionCodec codec,
        MemberConnector connector,
        HomeConnector homes,
        MonotonicClock clock,
        DecisionLog log,
        GatewayMetrics metrics) {}
