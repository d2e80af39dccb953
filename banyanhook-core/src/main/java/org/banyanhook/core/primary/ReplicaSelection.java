package org.banyanhook.core.primary;

import java.util.Comparator;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.banyanhook.core.configuration.BackendServer;
import org.banyanhook.core.replication.LogPosition;

/** Selects the replica that serves a read. */
public final class ReplicaSelection {

    private ReplicaSelection() {}

    /**
     * The requirements of a read on the replica that serves it.
     *
     * @param minimumPosition the log position that the replica must have reached, because the session has seen it
     * @param maximumAgeMillis the maximum age of the data
     * @param localFailureDomain the failure domain whose replicas are preferred
     * @param takenOutFailureDomains the failure domains whose replicas receive no new reads
     */
    public record ReadRequirements(
            LogPosition minimumPosition,
            long maximumAgeMillis,
            String localFailureDomain,
            Set<String> takenOutFailureDomains) {}

    /**
     * Selects a replica.
     *
     * <p>The replica must be in the term of the primary, hold an entry of that term, have reached the minimum position,
     * and not exceed the maximum age. Of these, replicas in the local failure domain come first, then those with the
     * fewest open connections, then those with the lowest name.
     *
     * @param view the group
     * @param ageBounds the positions that the primary had reached at past times
     * @param requirements the requirements of the read
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
