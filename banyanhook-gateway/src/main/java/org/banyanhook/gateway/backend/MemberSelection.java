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
import java.util.function.Predicate;
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

    /** Receives whether a member qualifies. */
    @FunctionalInterface
    private interface Evaluation {
        /**
         * Handles the result for one member.
         *
         * @param server the member
         * @param candidate the candidate, or null if the member does not qualify
         * @param exclusion why it does not, or an empty text
         */
        void onMember(MemberServer server, MemberChoice.@Nullable Candidate candidate, String exclusion);
    }

    /** Selects a member, or returns empty if none can run the request now. */
    Optional<Selection> select(ConnectionRequest request, GroupState group) {
        long now = context.clock().nowNanos();
        Optional<PositionHistory.Entry> minimumPosition = requiredPosition(request);
        Map<String, MemberServer> serversByName = new HashMap<>();
        List<MemberChoice.Candidate> candidates = new ArrayList<>();
        evaluate(request, group, replicasQualify(request, minimumPosition), now, (server, candidate, exclusion) -> {
            if (candidate != null) {
                candidates.add(candidate);
                serversByName.put(server.name(), server);
            }
        });
        return choose(candidates, draws).map(choice -> {
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

    /**
     * Returns the state that a selection would be based on, and its result. Sends nothing and changes nothing.
     *
     * @param request the request, which is not placed
     * @param group the state of the group, with all of its members
     * @param available whether a member accepts requests
     * @param draw the random value that the choice is made with, if it is made at random
     */
    SelectionReport explain(
            ConnectionRequest request, GroupState group, Predicate<MemberServer> available, double draw) {
        long now = context.clock().nowNanos();
        List<MemberChoice.Candidate> candidates = new ArrayList<>();
        List<SelectionReport.Member> members = new ArrayList<>();
        boolean replicasQualify = replicasQualify(request, requiredPosition(request));
        evaluate(request, group, replicasQualify, now, (server, candidate, exclusion) -> {
            boolean accepts = available.test(server);
            if (accepts && candidate != null) {
                candidates.add(candidate);
            }
            members.add(report(
                    server, group, accepts ? candidate : null, accepts ? exclusion : "accepts no requests", now));
        });
        Optional<MemberChoice.Candidate> choice = choose(candidates, () -> draw);
        return new SelectionReport(
                members,
                choice.map(MemberChoice.Candidate::member).orElse(null),
                capacity.isInForce(),
                draw,
                request.requirements().primaryOnly());
    }

    private Optional<MemberChoice.Candidate> choose(List<MemberChoice.Candidate> candidates, DoubleSupplier draw) {
        return capacity.isInForce()
                ? MemberChoice.choose(candidates, draw.getAsDouble())
                : MemberChoice.choose(candidates);
    }

    private SelectionReport.Member report(
            MemberServer server,
            GroupState group,
            MemberChoice.@Nullable Candidate candidate,
            String exclusion,
            long now) {
        boolean shared = capacity.isInForce();
        return new SelectionReport.Member(
                server.name(),
                server == group.primary(),
                context.settings().regionOf(server.entry().failureDomain()),
                server.position(),
                server.entry().slots(),
                shared ? server.running() : server.inFlight(),
                shared ? server.capacity().inFlight(server.running(), now) : server.inFlight(),
                shared ? server.capacity().knee() : server.entry().slots(),
                shared ? server.capacity().serviceMillis() : server.latency().expectedMillis(now),
                candidate == null ? null : candidate.access(),
                candidate == null ? 0 : candidate.costMillis(),
                exclusion);
    }

    private void evaluate(
            ConnectionRequest request, GroupState group, boolean replicasQualify, long now, Evaluation evaluation) {
        for (MemberServer server : group.servers()) {
            boolean atPrimary = server == group.primary();
            String exclusion = exclusion(server, request, group, replicasQualify, now);
            MemberChoice.Candidate candidate = null;
            if (exclusion.isEmpty()) {
                Access access = allocator.access(server, request, atPrimary, connectionLimit, now);
                if (access == null) {
                    exclusion = "no connection is available";
                } else {
                    candidate = candidate(server, access, request, atPrimary, now);
                }
            }
            evaluation.onMember(server, candidate, exclusion);
        }
    }

    /** Returns why a member does not qualify, or an empty text. */
    private String exclusion(
            MemberServer server, ConnectionRequest request, GroupState group, boolean replicasQualify, long now) {
        boolean atPrimary = server == group.primary();
        Set<String> regions = request.requirements().regions();
        String assigned = request.requirements().member();
        if (assigned != null && !assigned.equals(server.name())) {
            return "another member was assigned";
        }
        if (atPrimary && !group.primaryUsable()) {
            return "the primary may be in replacement";
        }
        if (!atPrimary && request.requirements().primaryOnly()) {
            return "is not the primary";
        }
        if (!atPrimary && !replicasQualify) {
            return "no position is known that is recent enough";
        }
        if (!atPrimary && server.isLagging(now)) {
            return "had not reached a required position";
        }
        if (!server.isRetryDue(now)) {
            return "could not be reached";
        }
        if (request.excludes(server.name())) {
            return "could not run the statement before";
        }
        if (!regions.isEmpty()
                && !regions.contains(context.settings().regionOf(server.entry().failureDomain()))) {
            return "is outside of the home regions";
        }
        return server.warmUp().allowsRequest(now) ? "" : "is warming up";
    }

    private MemberChoice.Candidate candidate(
            MemberServer server, Access access, ConnectionRequest request, boolean atPrimary, long now) {
        String region = context.settings().regionOf(server.entry().failureDomain());
        String ownRegion = context.settings().regionOf(context.settings().failureDomain());
        boolean otherRegion = !region.equals(ownRegion);
        if (!capacity.isInForce()) {
            return new MemberChoice.Candidate(
                    server.name(), access, server.latency().expectedMillis(now), server.inFlight(), otherRegion);
        }
        boolean reserved = atPrimary && !request.requirements().primaryOnly() && capacity.isReserved(server, now);
        return new MemberChoice.Candidate(
                server.name(), access, server.capacity().expectedMillis(server.running(), now), otherRegion, reserved);
    }

    /** The daemon that has assigned work to a member has also told which position the member must have reached. */
    private static boolean replicasQualify(ConnectionRequest request, Optional<PositionHistory.Entry> minimumPosition) {
        return request.requirements().member() != null || minimumPosition.isPresent();
    }

    private Optional<PositionHistory.Entry> requiredPosition(ConnectionRequest request) {
        return request.requirements().primaryOnly() || request.requirements().member() != null
                ? Optional.empty()
                : minimumPosition(request.requirements(), request.arrivedNanos());
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
