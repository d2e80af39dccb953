package org.banyanhook.gateway.session;

import io.netty.channel.EventLoop;
import org.banyanhook.gateway.GatewaySettings;
import org.banyanhook.gateway.backend.DatabaseGroups;
import org.banyanhook.gateway.fleet.FleetDirectory;
import org.banyanhook.gateway.operation.DecisionLog;
import org.banyanhook.gateway.operation.GatewayMetrics;
import org.banyanhook.gateway.operation.MonotonicClock;
import org.banyanhook.gateway.primary.PrimaryContact;
import org.banyanhook.gateway.rate.RateGate;

/**
 * What all sessions share.
 *
 * @param settings the settings of the gateway
 * @param directory what is known of the fleet
 * @param groups the database groups
 * @param rateLimiter holds accounts to their rates
 * @param primaryAccess tells whether a primary may still be believed
 * @param eventLoop where sessions run
 * @param clock the monotonic clock
 * @param log receives a line for each decision
 * @param metrics counts outcomes
 */
public record SessionContext(
        GatewaySettings settings,
        FleetDirectory directory,
        DatabaseGroups groups,
        RateGate rateLimiter,
        PrimaryContact primaryAccess,
        EventLoop eventLoop,
        MonotonicClock clock,
        DecisionLog log,
        GatewayMetrics metrics) {}
