package org.banyanhook.gateway.backend;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.banyanhook.core.configuration.DatabaseRoute;
import org.banyanhook.core.configuration.GroupLimits;
import org.banyanhook.core.configuration.SessionConfiguration;
import org.banyanhook.core.routing.ConnectionShare;
import org.banyanhook.gateway.message.SessionError;
import org.jspecify.annotations.Nullable;

/**
 * Maintains what is known of the speed of a group's members. In force only in fleets with more daemons than a member
 * accepts connections; in a smaller fleet each daemon learns enough from its own answers, and nothing is recorded. Used
 * on the event loop only.
 */
final class GroupCapacity {

    /** A log line is written when a knee has changed by this factor. */
    private static final double LOGGED_CHANGE = 1.5;

    /**
     * The utilization from which reads leave the primary to statements that need it. Beyond it, statements that arrive
     * at random often find all of the member's capacity in use.
     */
    private static final double RESERVED_UTILIZATION = 0.8;

    private final String group;
    private final GroupContext context;
    private final Map<String, Double> loggedKnees = new HashMap<>();
    private final Map<String, MemberServer> measuredServers = new HashMap<>();
    private SessionConfiguration configuration = SessionConfiguration.EMPTY;
    private boolean prioritiesDiffer;
    private boolean inForce;

    GroupCapacity(String group, GroupContext context) {
        this.group = group;
        this.context = context;
    }

    /** Returns whether members are chosen by what the daemons have learned together. */
    boolean isInForce() {
        return inForce;
    }

    /** Returns whether a statement that may run elsewhere should avoid the primary. */
    boolean isReserved(MemberServer primary, long nowNanos) {
        return prioritiesDiffer && primary.capacity().utilization(primary.running(), nowNanos) >= RESERVED_UTILIZATION;
    }

    /**
     * Records the answer to a statement. Refusals that say nothing of the member's load are not recorded, since they
     * are answered without any work.
     */
    void recordAnswer(MemberServer server, @Nullable SessionError error, long latencyNanos) {
        if (!inForce) {
            return;
        }
        long now = context.clock().nowNanos();
        if (error == null) {
            server.capacity().recordAnswer(latencyNanos, server.running(), now);
            return;
        }
        switch (error) {
            case OVERLOADED, STATEMENT_FAILED, TIMED_OUT, OUTCOME_UNKNOWN ->
                server.capacity().recordFailure(latencyNanos, now);
            default -> {}
        }
    }

    /** Applies the configuration and the size of the fleet, and combines what was learned since the last call. */
    void refresh(Collection<MemberServer> servers, @Nullable MemberServer primary) {
        readConfiguration();
        if (!inForce) {
            return;
        }
        long now = context.clock().nowNanos();
        int neighbours =
                Math.max(0, context.directory().daemonCount(context.settings().failureDomain()) - 1);
        for (MemberServer server : servers) {
            server.capacity().refresh(neighbours, otherDaemons(server, primary), now);
            if (measuredServers.put(server.name(), server) == null) {
                addGauges(server.name());
            }
            logChange(server);
        }
        if (measuredServers.size() > servers.size()) {
            measuredServers.values().removeIf(server -> !servers.contains(server));
            loggedKnees.keySet().retainAll(measuredServers.keySet());
        }
    }

    private void readConfiguration() {
        SessionConfiguration current = context.directory().configuration();
        GroupLimits limits = current.groups().get(group);
        inForce = limits != null
                && ConnectionShare.fleetExceedsLimit(
                        limits.connectionLimit(), context.directory().daemonsSharingLimits());
        if (current != configuration) {
            configuration = current;
            prioritiesDiffer = current.routes().values().stream()
                            .filter(route -> route.group().equals(group))
                            .mapToInt(DatabaseRoute::priority)
                            .distinct()
                            .count()
                    > 1;
        }
    }

    /** All daemons use the primary; a replica is mostly used by those of its region. */
    private int otherDaemons(MemberServer server, @Nullable MemberServer primary) {
        if (server == primary) {
            return context.directory().daemonsSharingLimits() - 1;
        }
        String region = context.settings().regionOf(server.entry().failureDomain());
        String ownRegion = context.settings().regionOf(context.settings().failureDomain());
        int daemons = 0;
        for (Map.Entry<String, String> domain : context.settings().regions().entrySet()) {
            if (domain.getValue().equals(region)) {
                daemons += context.directory().daemonCount(domain.getKey());
            }
        }
        return Math.max(0, region.equals(ownRegion) ? daemons - 1 : daemons);
    }

    private void addGauges(String member) {
        gauge("member.knee", member, server -> server.capacity().knee());
        gauge("member.service.milliseconds", member, server -> server.capacity().serviceMillis());
        gauge(
                "member.inflight",
                member,
                server -> server.capacity()
                        .inFlight(server.running(), context.clock().nowNanos()));
    }

    private void gauge(String name, String member, ToDoubleFunction<MemberServer> reading) {
        context.metrics().gauge(name, "member", member, () -> {
            MemberServer server = measuredServers.get(member);
            return server == null ? Double.NaN : reading.applyAsDouble(server);
        });
    }

    private void logChange(MemberServer server) {
        double knee = server.capacity().knee();
        double logged = loggedKnees.computeIfAbsent(
                server.name(), name -> (double) server.entry().slots());
        if (knee >= logged * LOGGED_CHANGE || knee <= logged / LOGGED_CHANGE) {
            loggedKnees.put(server.name(), knee);
            context.log()
                    .line("member-knee")
                    .with("group", group)
                    .with("member", server.name())
                    .with("kneeHundredths", Math.round(knee * 100))
                    .with("beforeHundredths", Math.round(logged * 100))
                    .with("serviceMicros", Math.round(server.capacity().serviceMillis() * 1_000))
                    .write();
        }
    }
}
