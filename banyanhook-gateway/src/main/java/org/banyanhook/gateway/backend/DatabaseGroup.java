package org.banyanhook.gateway.backend;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.banyanhook.core.configuration.GroupLimits;
import org.banyanhook.core.primary.CommitHolders;
import org.banyanhook.core.primary.GroupTerms;
import org.banyanhook.core.primary.PrimaryReliance;
import org.banyanhook.core.primary.PrimaryReport;
import org.banyanhook.core.replication.LogPosition;
import org.banyanhook.core.replication.PositionHistory;
import org.banyanhook.gateway.fleet.FleetDirectory.MemberRecord;
import org.banyanhook.gateway.message.MemberAnswer;
import org.banyanhook.gateway.message.MemberReport;
import org.banyanhook.gateway.message.SessionError;
import org.banyanhook.gateway.port.MemberEntry;
import org.jspecify.annotations.Nullable;

/**
 * A database group: the known state of its members, the queued connection requests, and the history of the primary's
 * log position. Used on the event loop only.
 */
public final class DatabaseGroup {

    /**
     * After a suspension, or a step of the wall clock, the store answers within this time whether this daemon is still
     * in contact with it; until then nothing new is sent to the primary, but its connections are kept.
     */
    private static final long SUSPENSION_CHECK_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    private final String name;
    private final GroupContext context;
    private final ConnectionAllocator allocator;
    private final Map<String, MemberServer> servers = new HashMap<>();
    private final WaitingRequests waiting;
    private final BusyRetries busyRetries;
    private final PositionHistory positionHistory = new PositionHistory();
    private final GroupTerms terms = new GroupTerms();
    private final CommitHolders commitHolders = new CommitHolders();
    private final Map<String, MemberServer> departed = new HashMap<>();
    private final MemberSelection memberSelection;
    private final GroupCapacity capacity;
    private @Nullable MemberServer primary;
    private long primaryPausedUntilNanos;
    private boolean primaryPaused;
    private boolean primaryUsable = true;

    DatabaseGroup(String name, GroupContext context) {
        this.name = name;
        this.context = context;
        this.waiting = new WaitingRequests(context);
        this.busyRetries = new BusyRetries(name, waiting::isPrioritised, context.metrics());
        this.allocator = new ConnectionAllocator(context, new ConnectionEvents());
        this.capacity = new GroupCapacity(name, context);
        this.memberSelection = new MemberSelection(
                context,
                allocator,
                positionHistory,
                this::connectionLimit,
                capacity,
                () -> ThreadLocalRandom.current().nextDouble());
    }

    /** Returns the name of the group. */
    public String name() {
        return name;
    }

    /** Returns the members. */
    public Collection<MemberServer> servers() {
        return servers.values();
    }

    /** Returns the member of a name, or empty if there is none. */
    public Optional<MemberServer> server(String member) {
        return Optional.ofNullable(servers.get(member));
    }

    /** Returns the known primary, or empty if there is none. */
    public Optional<MemberServer> primary() {
        return Optional.ofNullable(primary);
    }

    /** Selects the primary again after members have answered, and returns it, or empty if there is none. */
    public Optional<MemberServer> refreshPrimary() {
        reselectPrimary("members have answered");
        return primary();
    }

    /** Returns what is known of the terms of the group. */
    public GroupTerms terms() {
        return terms;
    }

    /** Returns how many replicas receive a commit before it is acknowledged. */
    public int synchronousReplicas() {
        GroupLimits limits = context.directory().configuration().groups().get(name);
        return limits == null ? 0 : limits.synchronousReplicas();
    }

    /** Returns the members that may hold acknowledged commits, which are known if there are synchronous replicas. */
    public CommitHolders commitHolders() {
        return commitHolders;
    }

    /**
     * Returns the members that are not listed any more and may hold acknowledged commits, by the name under which they
     * are missed. A member that has started again is not among them.
     */
    public Map<String, MemberServer> departedMembers() {
        departed.keySet().retainAll(commitHolders.possibleHolders());
        departed.values().removeIf(server -> servers.containsKey(server.name()));
        return Map.copyOf(departed);
    }

    /** Returns the retries at the overloaded primary. */
    public BusyRetries busyRetries() {
        return busyRetries;
    }

    /**
     * Serves a connection request now, or queues it until a connection is available.
     *
     * @param request the request
     */
    public void submit(ConnectionRequest request) {
        long now = context.clock().nowNanos();
        boolean othersWait = waiting.hasWaiting(request);
        if (othersWait || !waiting.isReleased(request, now) || !place(request)) {
            waiting.add(request, members(), now);
        }
        if (othersWait) {
            // Those before it may be unable to use the connection that this request can use.
            dispatch();
        }
    }

    /**
     * Releases a leased connection. A lease that has ended already is not released again.
     *
     * @param lease the lease, whose connection must not be in a transaction or have unanswered commands
     */
    public void release(ConnectionLease lease) {
        MemberConnection connection = lease.connection();
        long now = context.clock().nowNanos();
        if (!connection.endLease(lease)) {
            return;
        }
        if (connection.isAtHome()) {
            connection.close("the use of the home has ended");
            return;
        }
        waiting.recordHold(isPrimary(connection.server()), now - connection.lastLeasedNanos());
        if (!isAvailable(connection.server())) {
            connection.close("the member accepts no new requests");
        } else {
            reuseForSameAccount(connection);
            enforceShare(connection);
        }
        dispatch();
    }

    /**
     * Rolls back the transaction of a leased connection, and releases the connection when the member has confirmed it.
     * A connection that cannot be used again is closed instead, which has the same effect.
     *
     * @param lease the lease
     */
    public void rollBack(ConnectionLease lease) {
        if (!isAvailable(lease.server())) {
            lease.close("the member accepts no new requests");
            return;
        }
        TransactionRollback.start(lease, context.eventLoops().next(), () -> release(lease));
    }

    private void enforceShare(MemberConnection connection) {
        int share =
                allocator.connectionShare(connection.server(), isPrimary(connection.server()), this::connectionLimit);
        if (connection.server().connections().size() <= share) {
            connection.beyondShare(false);
        } else if (connection.isBeyondShare() && connection.isIdle()) {
            connection.close("exceeds this daemon's share of the connections");
        }
    }

    /** Reuses a connection for a queued request of the same account, which saves the member a new connection. */
    private void reuseForSameAccount(MemberConnection connection) {
        if (connection.isIdle() && connection.mayServeSameAccountAgain()) {
            waiting.pollForAccount(
                            connection,
                            isPrimary(connection.server()),
                            context.clock().nowNanos())
                    .filter(request -> !place(request))
                    .ifPresent(this::submit);
        }
    }

    /** Handles that a replica's log has not reached a required position. */
    public void onReplicaLagging(MemberServer server) {
        server.recordLag(context.clock().nowNanos());
    }

    /** Handles that a member reported that it is not the primary. */
    public void onNotPrimary(MemberServer server) {
        if (isPrimary(server)) {
            server.rejectPrimaryReport();
            reselectPrimary("the member reported that it is not the primary");
            endWorkAtFormerPrimaries();
        }
    }

    /** Handles that a member did not answer in time; it may never answer the other commands of this daemon either. */
    public void onTimeout(ConnectionLease lease) {
        if (lease.isAtHome()) {
            // The home may not have reached the member, and judges it itself.
            return;
        }
        capacity.recordAnswer(
                lease.server(),
                SessionError.TIMED_OUT,
                context.clock().nowNanos() - lease.connection().lastLeasedNanos());
        lease.server()
                .recordFailure(
                        lease.connection().lastLeasedNanos(), context.clock().nowNanos());
    }

    /**
     * Records the answer of a member to a statement.
     *
     * @param lease the connection
     * @param error the error of the answer, or null for none
     * @param elapsedNanos how long the answer took to arrive
     */
    public void recordAnswer(ConnectionLease lease, @Nullable SessionError error, long elapsedNanos) {
        if (error != null && error.isOfHome()) {
            return;
        }
        long latencyNanos = lease.memberLatencyNanos(elapsedNanos);
        lease.server().latency().recordLatency(latencyNanos, context.clock().nowNanos());
        capacity.recordAnswer(lease.server(), error, latencyNanos);
    }

    /** Returns whether the daemons share what they learn of the speed of the members. */
    public boolean sharesCapacity() {
        return capacity.isInForce();
    }

    /** Stops sending requests to the primary until a given time, because it is being replaced. */
    public void pausePrimary(long untilNanos) {
        primaryPaused = true;
        primaryPausedUntilNanos = untilNanos;
    }

    /**
     * Closes all connections to the primary, and those to former primaries on which work that relies on them is in
     * progress. The commands pending on them remain unanswered.
     */
    public void stopUsingPrimary(String reason) {
        for (MemberConnection connection : allocator.connections()) {
            if (connection.reliesOnPrimary() || isPrimary(connection.server())) {
                connection.close(reason);
            }
        }
    }

    /** Ends the work at members that are not the primary any more, as far as this daemon knows. */
    public void endWorkAtFormerPrimaries() {
        for (MemberConnection connection : allocator.connections()) {
            if (connection.reliesOnPrimary()) {
                PrimaryReliance reliance = reliance(connection.server());
                if (reliance != PrimaryReliance.CONTINUES) {
                    connection.close(reliance.reason());
                }
            }
        }
    }

    private PrimaryReliance reliance(MemberServer server) {
        MemberServer listed = servers.get(server.name());
        return PrimaryReliance.decide(
                server.name(),
                context.directory().recordedPrimary(name).orElse(null),
                primary == null ? null : primary.name(),
                server.isPrimaryReportRejected(),
                listed != null && listed != server);
    }

    /**
     * Handles the status that a member reported of itself.
     *
     * @param server the member
     * @param report the report
     * @param sentNanos when the report was requested; the member may have been promoted since
     */
    public void onReport(MemberServer server, MemberReport report, long sentNanos) {
        terms.recordHeld(server.name(), report.term(), context.clock().nowNanos());
        if (isPrimary(server) || !report.primary()) {
            commitHolders.recordReport(
                    server.name(), report.primary(), report.position(), sentNanos, synchronousReplicas());
        }
        if (!report.primary() && sentNanos - server.primaryReportedNanos() >= 0) {
            onNotPrimary(server);
        }
    }

    /** Ends a pause and dispatches queued requests. */
    public void resumePrimary() {
        endPause();
        dispatch();
    }

    /** Returns the newest known position of the primary, with the time up to which it covers all writes. */
    Optional<PositionHistory.Entry> newestPosition() {
        return positionHistory.newest();
    }

    /** Clears the history of the primary's positions, because the clock does not count a suspension. */
    void clearPositionHistory() {
        positionHistory.clear();
    }

    /** Applies the members that the directory lists. */
    void update(Map<String, MemberRecord> listed) {
        long now = context.clock().nowNanos();
        if (synchronousReplicas() > 0) {
            commitHolders.update(
                    listed.values().stream()
                            .map(MemberRecord::entry)
                            .map(DatabaseGroup::holderOf)
                            .toList(),
                    now);
        }
        listed.forEach((member, memberRecord) -> {
            MemberServer known = servers.get(member);
            if (known != null
                    && known.entry().startedAtMillis() != memberRecord.entry().startedAtMillis()) {
                removeMember(known, "the member has restarted");
                known = null;
            }
            if (known == null) {
                known = new MemberServer(memberRecord.entry(), memberRecord.primarySinceRevision(), now);
                servers.put(member, known);
            }
            known.update(memberRecord.entry(), memberRecord.primarySinceRevision(), now);
        });
        for (MemberServer server : List.copyOf(servers.values())) {
            if (!listed.containsKey(server.name())) {
                removeMember(server, "the member is not listed any more");
                departed.put(holderOf(server.entry()).departedName(), server);
            }
        }
        closeUnavailableConnections();
        reselectPrimary("the entries of the members changed");
        endWorkAtFormerPrimaries();
        dispatch();
    }

    private static CommitHolders.ListedMember holderOf(MemberEntry entry) {
        return new CommitHolders.ListedMember(
                entry.member(), entry.startedAtMillis(), entry.address().toString(), entry.leaving());
    }

    /** Ends an expired pause, checks access to the primary and refuses requests that have waited too long. */
    void tick() {
        long now = context.clock().nowNanos();
        if (primaryPaused && now - primaryPausedUntilNanos >= 0) {
            endPause();
        }
        checkPrimaryAccess();
        capacity.refresh(servers.values(), primary);
        waiting.refuseExpired(now);
        dispatch();
    }

    /** Closes the connections to a primary that may have been replaced without this daemon learning of it. */
    private void checkPrimaryAccess() {
        boolean usable = context.primaryAccess().mayUsePrimary(name);
        long now = context.clock().nowNanos();
        if (usable == primaryUsable || (!usable && context.clock().jumpedSince(now - SUSPENSION_CHECK_NANOS))) {
            return;
        }
        primaryUsable = usable;
        context.log()
                .line("primary-contact")
                .with("group", name)
                .with("member", primary == null ? null : primary.name())
                .with("change", usable ? "regained" : "lost")
                .write();
        if (usable) {
            releaseWriters(primary);
        } else {
            stopUsingPrimary("the primary may have been replaced without this daemon learning of it");
        }
    }

    private void removeMember(MemberServer server, String reason) {
        server.markUnlisted();
        servers.remove(server.name(), server);
        for (MemberConnection connection : List.copyOf(server.connections())) {
            if (!connection.isLeased()) {
                connection.close(reason);
            }
        }
    }

    private void closeUnavailableConnections() {
        for (MemberServer server : servers.values()) {
            if (!isAvailable(server)) {
                for (MemberConnection connection : List.copyOf(server.connections())) {
                    if (connection.isIdle()) {
                        connection.close("the member accepts no new requests");
                    }
                }
            }
        }
    }

    private boolean isAvailable(MemberServer server) {
        return server.acceptsRequests()
                && !context.directory().isEvacuated(server.entry().failureDomain());
    }

    private boolean mayUsePrimary() {
        return !primaryPaused && context.primaryAccess().mayUsePrimary(name);
    }

    private boolean isPrimary(MemberServer server) {
        return server == primary;
    }

    private int connectionLimit() {
        var limits = context.directory().configuration().groups().get(name);
        return limits == null ? 1 : limits.connectionLimit();
    }

    /** Selects the primary among the members that report to be primary. */
    private void reselectPrimary(String reason) {
        List<PrimaryReport> reports = new ArrayList<>();
        for (MemberServer server : servers.values()) {
            if (server.reportsPrimary()) {
                reports.add(new PrimaryReport(server.name(), server.termSinceReport(), server.primarySinceRevision()));
            }
        }
        MemberServer selected = PrimaryReport.selectCurrent(
                        reports, terms.highestLoggedTerm(), context.directory().recordedPrimary(name))
                .map(report -> servers.get(report.member()))
                .orElse(null);
        if (selected == primary) {
            return;
        }
        context.log()
                .line("primary")
                .with("group", name)
                .with("member", selected == null ? null : selected.name())
                .with("before", primary == null ? null : primary.name())
                .with("highestTerm", terms.newest().term())
                .with("claims", reports.size())
                .with("reason", reason)
                .write();
        primary = selected;
        if (selected != null) {
            primaryPaused = false;
            releaseWriters(selected);
        }
    }

    private void endPause() {
        primaryPaused = false;
        releaseWriters(primary);
    }

    /** Sends the writers that waited for a primary to it, at a limited pace. */
    private void releaseWriters(@Nullable MemberServer serving) {
        if (serving != null) {
            int connections = allocator.connectionShare(serving, true, this::connectionLimit);
            waiting.beginRelease(connections, context.clock().nowNanos(), this::dispatch);
        }
    }

    /** Serves queued requests as long as connections are available. */
    private void dispatch() {
        waiting.dispatch(
                this::place, members(), this::isConnectable, context.clock().nowNanos());
    }

    private WaitingRequests.Members members() {
        return new WaitingRequests.Members(servers.values(), primary, mayUsePrimary());
    }

    /** Returns whether a connection to a member can be obtained, whichever account it is for. */
    private boolean isConnectable(MemberServer server) {
        long now = context.clock().nowNanos();
        return isAvailable(server)
                && server.isRetryDue(now)
                && allocator.ownAccess(server, isPrimary(server), this::connectionLimit, now) != null;
    }

    /** Returns which member a request would be placed at, and why; the request is not placed. */
    public SelectionReport explain(ConnectionRequest request, double draw) {
        var state = new MemberSelection.GroupState(servers.values(), primary, mayUsePrimary());
        return memberSelection.explain(request, state, this::isAvailable, draw);
    }

    private boolean place(ConnectionRequest request) {
        List<MemberServer> available =
                servers.values().stream().filter(this::isAvailable).toList();
        Optional<MemberSelection.Selection> selection =
                memberSelection.select(request, new MemberSelection.GroupState(available, primary, mayUsePrimary()));
        selection.ifPresent(selected -> {
            recordWarmUpRequest(selected.server());
            waiting.recordSent(request, context.clock().nowNanos());
            allocator.leaseOrOpen(selected.server(), request, selected.placement());
        });
        return selection.isPresent();
    }

    private void recordWarmUpRequest(MemberServer server) {
        GroupLimits limits = context.directory().configuration().groups().get(name);
        if (limits != null) {
            server.warmUp()
                    .recordRequest(
                            limits.warmUpRequestsPerSecond(),
                            context.directory().daemonsSharingLimits(),
                            context.clock().nowNanos());
        }
    }

    private final class ConnectionEvents implements MemberConnection.Owner {

        @Override
        public void onOpened(MemberConnection connection, MemberAnswer answer) {
            if (answer.error() == null) {
                // Opening a connection occupies the member like a statement.
                capacity.recordAnswer(
                        connection.server(), null, context.clock().nowNanos() - connection.lastLeasedNanos());
            }
            allocator.onOpened(connection, answer, DatabaseGroup.this::submit);
            dispatch();
        }

        @Override
        public void onAnswer(MemberConnection connection, MemberAnswer answer, long sentNanos) {
            if (connection.isAtHome() && !isOfMember(answer)) {
                return;
            }
            MemberServer server = connection.server();
            if (isPrimary(server)) {
                if (server.unreachableNanos(context.clock().nowNanos()) >= 0) {
                    releaseWriters(server);
                }
                waiting.recordPrimaryAnswer(connection, answer, context.clock().nowNanos());
            }
            LogPosition position = answer.position();
            server.recordAnswer(position, context.clock().nowNanos());
            if (position == null) {
                return;
            }
            if (terms.recordLogged(
                    server.name(), position.term(), context.clock().nowNanos())) {
                reselectPrimary("a member reported a newer term");
                endWorkAtFormerPrimaries();
            }
            boolean current = position.term() >= terms.highestLoggedTerm()
                    && !context.clock().jumpedSince(sentNanos);
            if (isPrimary(server) && current) {
                positionHistory.recordAnswer(sentNanos, position);
            }
        }

        /**
         * Returns whether an answer that arrived through a home is one of the member. The home, or this daemon, answers
         * refused commands, changes of the session state and the commands of an ended transaction instead.
         */
        private static boolean isOfMember(MemberAnswer answer) {
            SessionError error = answer.error();
            boolean own = error == null || error == SessionError.TRANSACTION_ABORTED || error.isOfHome();
            return answer.position() != null || !own;
        }

        @Override
        public void onClosed(MemberConnection connection, String reason) {
            allocator.onClosed(connection, reason, DatabaseGroup.this::submit);
            dispatch();
        }

        @Override
        public void onMisuse(MemberConnection connection, String operation) {
            context.metrics().count("faults", "kind", "lease-ended");
            context.log()
                    .line("fault")
                    .with("group", name)
                    .with("member", connection.server().name())
                    .with("account", connection.account())
                    .with("reason", "refused on a connection whose lease has ended: " + operation)
                    .write();
        }
    }
}
