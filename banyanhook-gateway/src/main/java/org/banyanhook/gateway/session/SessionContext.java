package org.banyanhook.gateway.session;

import io.netty.channel.EventLoop;
import org.banyanhook.gateway.GatewaySettings;
import org.banyanhook.gateway.backend.DatabaseGroups;
import org.banyanhook.gateway.fleet.FleetDirectory;
import org.banyanhook.gateway.operation.DecisionLog;
import org.banyanhook.gateway.operation.GatewayMetrics;
import org.banyanhook.gateway.operation.SteadyClock;
import org.banyanhook.gateway.primary.PrimaryAccessPolicy;
import org.banyanhook.gateway.rate.AccountRateLimiter;

/**
 * What all sessions share.
 *
 * @param settings the settings of the gateway
 * @param directory what is known of the fleet
 * @param groups the database groups
 * @param rates holds accounts to their rates
 * @param contact tells whether a primary may still be believed
 * @param eventLoop where sessions run
 * @param clock the monotonic clock
 * @param log receives a line for each decision
 * @param metrics counts outcomes
 */
public record SessionContext(
        GatewaySettings settings,
        FleetDirectory directory,
        DatabaseGroups groups,
        AccountRateLimiter rates,
        PrimaryAccessPolicy contact,
        EventLoop eventLoop,
        SteadyClock clock,
        DecisionLog log,
        GatewayMetrics metrics) {}
