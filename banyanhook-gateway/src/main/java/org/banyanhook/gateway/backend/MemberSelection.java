package org.banyanhook.gateway.backend;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.IntSupplier;
import org.banyanhook.core.replication.LogPosition;
import org.banyanhook.core.replication.PositionHistory;
import org.banyanhook.core.scheduling.MemberChoice;
import org.banyanhook.core.scheduling.MemberChoice.Access;
import org.jspecify.annotations.Nullable;

/**
 * Collects the members of a group that qualify for a request, and has one of them chosen. Used on the event loop only.
 */
final class MemberSelection {

    private final GroupContext context;
    private final ConnectionAllocator allocator;
    private final PositionHistory positionHistory;
    private final IntSupplier connectionLimit;
    private final GroupCapacity capacity;
    private final DoubleSupplier draws;

    /**
     * The state of the group at the time of a selection.
     *
     * @param servers the members that are available
     * @param primary the known primary, or null if there is none
     * @param primaryUsable whether requests may be sent to the primary
     */
    record GroupState(
            Collection<MemberServer> servers, @Nullable MemberServer primary, boolean primaryUsable) {}

    /**
     * The member selected for a request.
     *
     * @param server the member
     * @param placement the state that the choice was based on
     */
    record Selection(MemberServer server, Placement placement) {}

    MemberSelection(
            GroupContext context,
            ConnectionAllocator allocator,
            PositionHistory positionHistory,
            IntSupplier connectionLimit,
            GroupCapacity capacity,
            DoubleSupplier draws) {
        this.context = context;
        this.allocator = allocator;
        this.positionHistory = positionHistory;
        this.connectionLimit = connectionLimit;
        this.capacity = capacity;
        this.draws = draws;
    }

    /** Selects a member, or returns empty if none can run the request now. */
    Optional<Selection> select(ConnectionRequest request, GroupState group) {
        long now = context.clock().nowNanos();
        Optional<PositionHistory.Entry> minimumPosition = request.requirements().primaryOnly()
                ? Optional.empty()
                : minimumPosition(request.requirements(), request.arrivedNanos());
        Map<String, MemberServer> serversByName = new HashMap<>();
        List<MemberChoice.Candidate> candidates = new ArrayList<>();
        for (MemberServer server : group.servers()) {
            boolean atPrimary = server == group.primary();
            boolean eligible =
                    atPrimary ? group.primaryUsable() : minimumPosition.isPresent() && !server.isLagging(now);
            if (eligible && server.isRetryDue(now) && !request.excludes(server.name())) {
                candidate(server, request, atPrimary, now).ifPresent(candidate -> {
                    candidates.add(candidate);
                    serversByName.put(server.name(), server);
                });
            }
        }
        Optional<MemberChoice.Candidate> chosen = capacity.isInForce()
                ? MemberChoice.choose(candidates, draws.getAsDouble())
                : MemberChoice.choose(candidates);
        return chosen.map(choice -> {
            MemberServer server = Objects.requireNonNull(serversByName.get(choice.member()), choice.member());
            boolean atPrimary = server == group.primary();
            return new Selection(
                    server,
                    new Placement(
                            atPrimary,
                            choice.access(),
                            candidates.size(),
                            atPrimary ? null : minimumPosition.orElse(null),
                            now - request.arrivedNanos()));
        });
    }

    private Optional<MemberChoice.Candidate> candidate(
            MemberServer server, ConnectionRequest request, boolean atPrimary, long now) {
        Set<String> regions = request.requirements().regions();
        String region = context.settings().regionOf(server.entry().failureDomain());
        boolean regionAllowed = regions.isEmpty() || regions.contains(region);
        if (!regionAllowed
                || (request.requirements().primaryOnly() && !atPrimary)
                || !server.warmUp().allowsRequest(now)) {
            return Optional.empty();
        }
        Access access = allocator.access(server, request.account(), atPrimary, connectionLimit, now);
        if (access == null) {
            return Optional.empty();
        }
        String ownRegion = context.settings().regionOf(context.settings().failureDomain());
        boolean otherRegion = !region.equals(ownRegion);
        if (capacity.isInForce()) {
            boolean reserved = atPrimary && !request.requirements().primaryOnly() && capacity.isReserved(server, now);
            double expectedMillis = server.capacity().expectedMillis(server.running(), now);
            return Optional.of(
                    new MemberChoice.Candidate(server.name(), access, expectedMillis, otherRegion, reserved));
        }
        return Optional.of(new MemberChoice.Candidate(
                server.name(), access, server.latency().expectedMillis(now), server.inFlight(), otherRegion));
    }

    /** Returns the position that a replica's log must have reached, or empty if only the primary qualifies. */
    private Optional<PositionHistory.Entry> minimumPosition(
            ConnectionRequest.Requirements requirements, long arrivedNanos) {
        Optional<PositionHistory.Entry> entry =
                positionHistory.minimumPosition(arrivedNanos - requirements.maximumAgeNanos());
        LogPosition sessionPosition = requirements.sessionMinimumPosition();
        if (sessionPosition == null) {
            return entry;
        }
        // A position of an older term may have been rolled back; what was kept precedes the positions of the newer
        // term.
        return entry.map(found -> sessionPosition.term() < found.position().term()
                ? found
                : new PositionHistory.Entry(
                        found.coveredUntilNanos(), LogPosition.latest(found.position(), sessionPosition)));
    }
}
