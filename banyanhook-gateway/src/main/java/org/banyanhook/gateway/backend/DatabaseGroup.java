package org.banyanhook.gateway.backend;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.banyanhook.core.admission.AdmissionDecision;
import org.banyanhook.core.admission.FairQueue;
import org.banyanhook.core.configuration.GroupLimits;
import org.banyanhook.core.primary.PrimaryReport;
import org.banyanhook.core.replication.LogPosition;
import org.banyanhook.core.replication.PositionHistory;
import org.banyanhook.core.routing.StatementPlacement;
import org.banyanhook.core.routing.StatementPlacement.Access;
import org.banyanhook.gateway.fleet.FleetDirectory.MemberRecord;
import org.banyanhook.gateway.message.MemberAnswer;
import org.banyanhook.gateway.message.SessionError;
import org.jspecify.annotations.Nullable;

/**
 * A database group: its members as believed, the work that waits for them, and where the primary stood when. Used on
 * the event loop only.
 */
public final class DatabaseGroup {

    /** Work that may wait for one group, over a second of what its members can do. */
    private static final int QUEUE_CAPACITY = 256;

    private static final int QUEUE_CAPACITY_PER_ACCOUNT = 96;

    /** Bytes between regions are paid for, so a member elsewhere must be this much faster to be preferred. */
    private static final double OTHER_REGION_MILLIS = 25;

    /** Opening a connection takes the member this long, and a round trip besides. */
    private static final double OPENING_MILLIS = 20;

    private final String name;
    private final GroupContext context;
    private final ConnectionOpener opener;
    private final Map<String, MemberServer> servers = new HashMap<>();
    private final FairQueue<Work> primaryQueue = new FairQueue<>(QUEUE_CAPACITY, QUEUE_CAPACITY_PER_ACCOUNT);
    private final FairQueue<Work> readQueue = new FairQueue<>(QUEUE_CAPACITY, QUEUE_CAPACITY_PER_ACCOUNT);
    private final PositionHistory history = new PositionHistory();
    private @Nullable MemberServer primary;
    private long highestTerm;
    private long heldUntilNanos;
    private boolean held;
    private boolean inContact = true;
    private boolean pumping;

    DatabaseGroup(String name, GroupContext context) {
        this.name = name;
        this.context = context;
        this.opener = new ConnectionOpener(context, new Events());
    }

    /** Returns its name. */
    public String name() {
        return name;
    }

    /** Returns the members. */
    public Collection<MemberServer> servers() {
        return servers.values();
    }

    /** Finds a member by name, or returns empty. */
    public Optional<MemberServer> server(String member) {
        return Optional.ofNullable(servers.get(member));
    }

    /** Returns the member that is taken for the primary, or empty. */
    public Optional<MemberServer> primary() {
        return Optional.ofNullable(primary);
    }

    /** Works out anew which member is the primary, after members have answered; returns it, or empty. */
    public Optional<MemberServer> lookForPrimary() {
        reconsider("members answered");
        return primary();
    }

    /** Returns the highest term that any member has named. */
    public long highestTerm() {
        return highestTerm;
    }

    /**
     * Places work now or as soon as a connection can be had.
     *
     * @param work the work
     */
    public void submit(Work work) {
        FairQueue<Work> queue = work.demand().primaryOnly() ? primaryQueue : readQueue;
        if (queue.size() == 0 && place(work)) {
            return;
        }
        AdmissionDecision<Work> decision = queue.offer(
                work.account(),
                work.weight(),
                work,
                work.deadlineNanos(),
                context.clock().nowNanos());
        decision.displaced().ifPresent(other -> refuse(other, "displaced by an account with a shorter queue"));
        if (!decision.isQueued()) {
            refuse(work, "queue: " + decision.reason());
        }
    }

    /**
     * Takes a connection back.
     *
     * @param connection a connection in no transaction, whose answers have all arrived
     */
    public void release(MemberConnection connection) {
        connection.endLease();
        if (!mayUse(connection.server())) {
            connection.close("the member takes no new work");
        } else {
            serveSameAccount(connection);
            keepWithinShare(connection);
        }
        pump();
    }

    private void keepWithinShare(MemberConnection connection) {
        int share = opener.share(connection.server(), isPrimary(connection.server()), this::limit);
        if (connection.server().connections().size() <= share) {
            connection.borrowed(false);
        } else if (connection.isBorrowed() && connection.isIdle()) {
            connection.close("beyond this daemon's share");
        }
    }

    /** Gives a connection to waiting work of its account, which saves the member a new connection. */
    private void serveSameAccount(MemberConnection connection) {
        if (!connection.isIdle() || !connection.mayServeSameAccountAgain()) {
            return;
        }
        long now = context.clock().nowNanos();
        Optional<Work> next = Optional.empty();
        if (isPrimary(connection.server())) {
            next = primaryQueue.poll(connection.account(), now);
        }
        if (next.isEmpty()) {
            next = readQueue.poll(connection.account(), now);
        }
        next.filter(work -> !work.isCancelled()).ifPresent(work -> {
            if (!place(work)) {
                submit(work);
            }
        });
    }

    /** Notes that a replica's log lacked a position. */
    public void replicaBehind(MemberServer server) {
        server.wasBehind(context.clock().nowNanos());
    }

    /** Notes that a member said it is not the primary. */
    public void notPrimary(MemberServer server) {
        if (isPrimary(server)) {
            server.depose();
            reconsider("the member said that it is not the primary");
        }
    }

    /** Notes that a member did not answer in time; what it still holds of this daemon may never be answered. */
    public void timedOut(MemberServer server) {
        server.unreachable(context.clock().nowNanos());
    }

    /** Notes how long a member took to run a statement. */
    public void ran(MemberServer server, long latencyNanos) {
        server.latency().recordLatency(latencyNanos, context.clock().nowNanos());
    }

    /** Sends no work to the primary for a time, because it is being replaced. */
    public void hold(long untilNanos) {
        held = true;
        heldUntilNanos = untilNanos;
    }

    /** Closes all connections to the primary; what is under way there is not answered any more. */
    public void dropPrimary(String reason) {
        MemberServer dropped = primary;
        if (dropped != null) {
            for (MemberConnection connection : List.copyOf(dropped.connections())) {
                connection.close(reason);
            }
        }
    }

    /** Ends a hold. */
    public void releaseHold() {
        held = false;
        pump();
    }

    /** Forgets where the primary stood when; the clock did not count a suspension. */
    void forgetHistory() {
        history.clear();
    }

    /** Takes in the members that the directory lists. */
    void update(Map<String, MemberRecord> listed) {
        long now = context.clock().nowNanos();
        listed.forEach((member, found) -> {
            MemberServer known = servers.get(member);
            if (known != null && known.entry().bornMillis() != found.entry().bornMillis()) {
                retire(known, "the member started again");
                known = null;
            }
            if (known == null) {
                known = new MemberServer(found.entry(), found.primarySinceRevision(), now);
                servers.put(member, known);
            }
            known.update(found.entry(), found.primarySinceRevision(), now);
        });
        for (MemberServer server : List.copyOf(servers.values())) {
            if (!listed.containsKey(server.name())) {
                retire(server, "the member is gone");
            }
        }
        closeUnusable();
        reconsider("entries of the members changed");
        pump();
    }

    /** Refuses what has waited too long and ends holds. */
    void tick() {
        long now = context.clock().nowNanos();
        if (held && now - heldUntilNanos >= 0) {
            held = false;
        }
        watchContact();
        primaryQueue.removeExpired(now).forEach(work -> refuse(work, "waited too long for the primary"));
        readQueue.removeExpired(now).forEach(work -> refuse(work, "waited too long for a member"));
        pump();
    }

    /** Ends what is under way at a primary that may have been replaced unnoticed. */
    private void watchContact() {
        boolean now = context.contact().mayUsePrimary(name);
        if (now == inContact) {
            return;
        }
        inContact = now;
        context.log()
                .line("primary-contact")
                .with("group", name)
                .with("member", primary == null ? null : primary.name())
                .with("change", now ? "regained" : "lost")
                .write();
        if (!now) {
            dropPrimary("a replaced primary could go unnoticed");
        }
    }

    private void retire(MemberServer server, String reason) {
        server.unlist();
        servers.remove(server.name(), server);
        for (MemberConnection connection : List.copyOf(server.connections())) {
            if (!connection.isLeased()) {
                connection.close(reason);
            }
        }
    }

    private void closeUnusable() {
        for (MemberServer server : servers.values()) {
            if (!mayUse(server)) {
                for (MemberConnection connection : List.copyOf(server.connections())) {
                    if (connection.isIdle()) {
                        connection.close("the member takes no new work");
                    }
                }
            }
        }
    }

    private boolean mayUse(MemberServer server) {
        return server.takesWork()
                && !context.directory().isEvacuated(server.entry().failureDomain());
    }

    private boolean mayUsePrimary() {
        return !held && context.contact().mayUsePrimary(name);
    }

    private boolean isPrimary(MemberServer server) {
        return server == primary;
    }

    private int limit() {
        var limits = context.directory().configuration().groups().get(name);
        return limits == null ? 1 : limits.connectionLimit();
    }

    /** Works out anew which member is the primary. */
    private void reconsider(String reason) {
        List<PrimaryReport> claims = new ArrayList<>();
        for (MemberServer server : servers.values()) {
            if (server.primarySinceRevision() > 0) {
                claims.add(new PrimaryReport(server.name(), server.termSinceClaim(), server.primarySinceRevision()));
            }
        }
        MemberServer believed = PrimaryReport.selectCurrent(
                        claims, highestTerm, context.directory().recordedPrimary(name))
                .map(claim -> servers.get(claim.member()))
                .orElse(null);
        if (believed == primary) {
            return;
        }
        context.log()
                .line("primary")
                .with("group", name)
                .with("member", believed == null ? null : believed.name())
                .with("before", primary == null ? null : primary.name())
                .with("highestTerm", highestTerm)
                .with("claims", claims.size())
                .with("reason", reason)
                .write();
        primary = believed;
        if (believed != null) {
            held = false;
        }
    }

    private void refuse(Work work, String detail) {
        if (!work.isCancelled()) {
            work.cancel();
            work.listener().onRefused(SessionError.OVERLOADED, detail);
        }
    }

    /** Places as much waiting work as there are connections. */
    private void pump() {
        if (pumping) {
            return;
        }
        pumping = true;
        try {
            pump(primaryQueue);
            pump(readQueue);
        } finally {
            pumping = false;
        }
    }

    private void pump(FairQueue<Work> queue) {
        long now = context.clock().nowNanos();
        int attempts = queue.size();
        while (attempts-- > 0) {
            Work next = queue.poll(now).orElse(null);
            if (next == null) {
                return;
            }
            if (!next.isCancelled() && !place(next)) {
                queue.offer(next.account(), next.weight(), next, next.deadlineNanos(), now);
                return;
            }
        }
    }

    private boolean place(Work work) {
        long now = context.clock().nowNanos();
        Optional<PositionHistory.Entry> floor =
                work.demand().primaryOnly() ? Optional.empty() : floor(work.demand(), work.arrivedNanos());
        Map<String, MemberServer> chosenFrom = new HashMap<>();
        List<StatementPlacement.Candidate> candidates = new ArrayList<>();
        for (MemberServer server : servers.values()) {
            boolean suits = isPrimary(server) ? mayUsePrimary() : floor.isPresent() && !server.isBehind(now);
            if (suits && mayUse(server) && server.mayBeTried(now) && !work.excludes(server.name())) {
                candidate(server, work, now).ifPresent(candidate -> {
                    candidates.add(candidate);
                    chosenFrom.put(server.name(), server);
                });
            }
        }
        StatementPlacement.Candidate choice =
                StatementPlacement.choose(candidates).orElse(null);
        if (choice == null) {
            return false;
        }
        MemberServer server = requireNonNull(chosenFrom.get(choice.member()), choice.member());
        boolean atPrimary = isPrimary(server);
        Placement placement = new Placement(
                atPrimary,
                choice.access(),
                candidates.size(),
                atPrimary ? null : floor.orElse(null),
                now - work.arrivedNanos());
        GroupLimits limits = context.directory().configuration().groups().get(name);
        if (limits != null) {
            server.warmUp()
                    .recordRequest(
                            limits.warmUpRequestsPerSecond(),
                            context.directory().sharingDaemons(),
                            now);
        }
        opener.connect(server, work, placement);
        return true;
    }

    private Optional<StatementPlacement.Candidate> candidate(MemberServer server, Work work, long now) {
        Set<String> regions = work.demand().regions();
        String region = context.settings().regionOf(server.entry().failureDomain());
        boolean primaryOnly = work.demand().primaryOnly();
        boolean allowedThere = regions.isEmpty() || regions.contains(region);
        if (!allowedThere
                || (primaryOnly && !isPrimary(server))
                || !server.warmUp().allowsRequest(now)) {
            return Optional.empty();
        }
        Access access = opener.access(server, work.account(), isPrimary(server), this::limit, now);
        if (access == null) {
            return Optional.empty();
        }
        double millis = server.latency().expectedMillis(now) * (1 + server.inFlight());
        if (access != Access.IDLE_CONNECTION) {
            millis += OPENING_MILLIS;
        }
        if (!region.equals(context.settings().regionOf(context.settings().failureDomain()))) {
            millis += OTHER_REGION_MILLIS;
        }
        return Optional.of(new StatementPlacement.Candidate(server.name(), access, millis));
    }

    /** Returns the place that a replica's log must hold, or empty if only the primary will do. */
    private Optional<PositionHistory.Entry> floor(Work.Demand demand, long arrivedNanos) {
        Optional<PositionHistory.Entry> entry = history.minimumPosition(arrivedNanos - demand.maximumAgeNanos());
        LogPosition session = demand.sessionFloor();
        if (session == null) {
            return entry;
        }
        // A place of an older term may have been rolled back; what was kept of it lies before the newer term's places.
        return entry.map(found -> session.term() < found.position().term()
                ? found
                : new PositionHistory.Entry(found.coveredUntilNanos(), LogPosition.latest(found.position(), session)));
    }

    private final class Events implements MemberConnection.Owner {

        @Override
        public void onOpened(MemberConnection connection, MemberAnswer answer) {
            opener.opened(connection, answer, DatabaseGroup.this::submit);
            pump();
        }

        @Override
        public void onAnswer(MemberConnection connection, MemberAnswer answer, long sentNanos) {
            MemberServer server = connection.server();
            LogPosition position = answer.position();
            server.answered(position, context.clock().nowNanos());
            if (position == null) {
                return;
            }
            if (position.term() > highestTerm) {
                highestTerm = position.term();
                reconsider("a member named a newer term");
            }
            if (isPrimary(server) && position.term() >= highestTerm) {
                history.recordAnswer(sentNanos, position);
            }
        }

        @Override
        public void onClosed(MemberConnection connection, String reason) {
            opener.closed(connection, reason, DatabaseGroup.this::submit);
            pump();
        }
    }
}
