package org.banyanhook.gateway.session;

import io.netty.channel.EventLoop;
import org.banyanhook.gateway.GatewaySettings;
import org.banyanhook.gateway.backend.DatabaseGroups;
import org.banyanhook.gateway.fleet.FleetDirectory;
import org.banyanhook.gateway.operation.DecisionLog;
import org.banyanhook.gateway.operation.GatewayMetrics;
import org.banyanhook.gateway.operation.MonotonicClock;
import org.banyanhook.gateway.primary.PrimaryAccessPolicy;
import org.banyanhook.gateway.rate.AccountRateLimiter;
import org.banyanhook.gateway.usage.UsageMeter;

/**
 * The dependencies that all sessions share.
 *
 * @param settings the settings of the gateway
 * @param directory the directory of the fleet, with the current configuration
 * @param groups the database groups
 * @param rateLimiter enforces the rate limits of client accounts
 * @param primaryAccess decides whether the known primary of a group may be used
 * @param eventLoop the event loop on which sessions run
 * @param clock the monotonic clock
 * @param log the log of decisions
 * @param metrics the metrics of the gateway
 * @param usage counts the requests of client accounts
 */
public record SessionContext(
        GatewaySettings settings,
        FleetDirectory directory,
        DatabaseGroups groups,
        AccountRateLimiter rateLimiter,
        PrimaryAccessPolicy primaryAccess,
        EventLoop eventLoop,
        MonotonicClock clock,
        DecisionLog log,
        GatewayMetrics metrics,
        UsageMeter usage) {}
