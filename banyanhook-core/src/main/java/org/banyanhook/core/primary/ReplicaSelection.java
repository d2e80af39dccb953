package org.banyanhook.core.primary;

import java.util.Comparator;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.banyanhook.core.configuration.BackendServer;
import org.banyanhook.core.replication.LogPosition;

/** Chooses the replica that may serve a read. */
public final class ReplicaSelection {

    private ReplicaSelection() {}

    /**
     * What a read demands of a replica.
     *
     * @param minimumPosition the place that the session must see
     * @param maximumAgeMillis the age that the data may have
     * @param localFailureDomain the failure domain whose replicas are preferred
     * @param takenOutFailureDomains the failure domains that get no new work
     */
    public record ReadRequirements(
            LogPosition minimumPosition,
            long maximumAgeMillis,
            String localFailureDomain,
            Set<String> takenOutFailureDomains) {}

    /**
     * Chooses a replica.
     *
     * <p>The replica must be in the term of the primary, hold an entry of that term, cover the session's place, and be
     * within the age. Of these, the local failure domain goes first, then the fewest open connections, then the name.
     *
     * @param view the group
     * @param ageBounds where the primary stood when
     * @param requirements what the read demands
     * @param nowNanos the reading of the observer's monotonic clock
     * @return the name of the replica, or empty if none qualifies
     */
    public static Optional<String> choose(
            GroupView view, DataAgeBounds ageBounds, ReadRequirements requirements, long nowNanos) {
        Optional<KnownPrimary> primary = view.primary();
        if (primary.isEmpty()) {
            return Optional.empty();
        }
        Predicate<MemberStatus> qualifies = status -> status.role() == MemberRole.REPLICA
                && status.confirms(new LogPosition(primary.get().term(), 0))
                && status.position().covers(requirements.minimumPosition())
                && ageBounds.ageBoundMillis(status.position(), nowNanos) <= requirements.maximumAgeMillis();
        return view.database().members().stream()
                .filter(server -> acceptsReads(server, requirements))
                .filter(server -> view.status(server.name()).filter(qualifies).isPresent())
                .min(preferenceOrder(view, requirements))
                .map(BackendServer::name);
    }

    private static boolean acceptsReads(BackendServer server, ReadRequirements requirements) {
        return !server.leaving() && !requirements.takenOutFailureDomains().contains(server.failureDomain());
    }

    private static Comparator<BackendServer> preferenceOrder(GroupView view, ReadRequirements requirements) {
        return Comparator.comparing(
                        (BackendServer server) -> !server.failureDomain().equals(requirements.localFailureDomain()))
                .thenComparing(server -> view.status(server.name())
                        .map(MemberStatus::activeConnections)
                        .orElse(Integer.MAX_VALUE))
                .thenComparing(BackendServer::name);
    }
}
