package org.banyanhook.gateway.backend;

import java.util.Collection;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.banyanhook.core.configuration.DatabaseRoute;
import org.banyanhook.core.configuration.SessionConfiguration;
import org.banyanhook.core.scheduling.AdmissionEstimator.QueueState;
import org.banyanhook.core.scheduling.ReleasePace;
import org.banyanhook.gateway.message.MemberAnswer;
import org.banyanhook.gateway.message.SessionError;
import org.jspecify.annotations.Nullable;

/**
 * The connection requests of a group that wait, for the primary or for any member, and what decides on their order,
 * refusal and release. Where all routes of the configuration have the same priority, requests are served in their order
 * of arrival, fair between accounts, and none is refused by an estimate. Used on the event loop only.
 */
final class WaitingRequests {

    /** Bounds the work of one call: an attempt to place a request that fails may request a dispatch each time. */
    private static final int MAXIMUM_DISPATCH_ROUNDS = 4;

    private final GroupContext context;
    private final ConnectionRequestQueue primaryQueue;
    private final ConnectionRequestQueue readQueue;
    private final ReleasePace releasePace = new ReleasePace();
    private @Nullable SessionConfiguration knownConfiguration;
    private boolean prioritised;
    private int placesAtPrimary;
    private boolean dispatching;
    private @Nullable Members requestedDispatch;

    /**
     * The members of a group at the time of a decision.
     *
     * @param servers all members
     * @param primary the known primary, or null if there is none
     * @param primaryUsable whether requests may be sent to the primary
     */
    record Members(
            Collection<MemberServer> servers, @Nullable MemberServer primary, boolean primaryUsable) {}

    WaitingRequests(GroupContext context) {
        this.context = context;
        this.primaryQueue = new ConnectionRequestQueue("the primary", context.metrics());
        this.readQueue = new ConnectionRequestQueue("a member", context.metrics());
    }

    /** Returns whether the routes of the configuration differ in priority. */
    boolean isPrioritised() {
        SessionConfiguration current = context.directory().configuration();
        if (current != knownConfiguration) {
            Set<Integer> priorities = new HashSet<>();
            for (DatabaseRoute route : current.routes().values()) {
                priorities.add(route.priority());
            }
            prioritised = priorities.size() > 1;
            knownConfiguration = current;
        }
        return prioritised;
    }

    /** Returns whether requests of the same kind as a new one wait. */
    boolean hasWaiting(ConnectionRequest request) {
        return !queue(request).isEmpty();
    }

    /** Adds a request that cannot be placed now, or refuses it or another. */
    void add(ConnectionRequest request, Members members, long nowNanos) {
        if (isPrioritised()) {
            boolean primaryOnly = request.requirements().primaryOnly();
            queue(request)
                    .addByPriority(
                            request,
                            ahead -> primaryOnly
                                    ? primaryState(ahead, members, nowNanos)
                                    : readState(ahead, members, nowNanos),
                            nowNanos);
        } else {
            queue(request).add(request, nowNanos);
        }
    }

    private ConnectionRequestQueue queue(ConnectionRequest request) {
        return request.requirements().primaryOnly() ? primaryQueue : readQueue;
    }

    private QueueState primaryState(double ahead, Members members, long nowNanos) {
        MemberServer primary = members.primary();
        if (primary == null || !members.primaryUsable() || !primary.isRetryDue(nowNanos)) {
            return new QueueState(ahead, placesAtPrimary, false);
        }
        placesAtPrimary = places(primary, primaryQueue, nowNanos);
        return new QueueState(ahead, placesAtPrimary, true);
    }

    private QueueState readState(double ahead, Members members, long nowNanos) {
        int places = 0;
        for (MemberServer server : members.servers()) {
            if (server.isRetryDue(nowNanos)) {
                places += places(server, readQueue, nowNanos);
            }
        }
        return new QueueState(ahead, places, true);
    }

    private static int places(MemberServer server, ConnectionRequestQueue queue, long nowNanos) {
        int places = 0;
        for (MemberConnection connection : server.connections()) {
            boolean soonFree =
                    !connection.isLeased() || queue.estimator().countsAsPlace(nowNanos - connection.lastLeasedNanos());
            places += soonFree ? 1 : 0;
        }
        return places;
    }

    /** Removes and returns the next request of the account of a connection that has become idle, or empty. */
    Optional<ConnectionRequest> pollForAccount(MemberConnection connection, boolean atPrimary, long nowNanos) {
        Optional<ConnectionRequest> next = Optional.empty();
        if (atPrimary && releasePace.allows(nowNanos)) {
            next = primaryQueue.poll(connection.account(), nowNanos);
        }
        return next.isPresent() ? next : readQueue.poll(connection.account(), nowNanos);
    }

    /**
     * Places waiting requests in their order, as far as possible. A call during another one, for example because a
     * connection was freed, makes the other one examine the requests again.
     *
     * @param place places a request, and returns whether that was possible
     * @param members the members of the group
     * @param connectable returns whether a connection to a member can be obtained for any account
     * @param nowNanos the time
     */
    void dispatch(
            Predicate<ConnectionRequest> place, Members members, Predicate<MemberServer> connectable, long nowNanos) {
        if (dispatching) {
            requestedDispatch = members;
            return;
        }
        dispatching = true;
        try {
            Members current = members;
            for (int round = 0; current != null && round < MAXIMUM_DISPATCH_ROUNDS; round++) {
                requestedDispatch = null;
                dispatchOnce(place, current, connectable, nowNanos);
                current = requestedDispatch;
            }
        } finally {
            dispatching = false;
            requestedDispatch = null;
        }
    }

    private void dispatchOnce(
            Predicate<ConnectionRequest> place, Members members, Predicate<MemberServer> connectable, long nowNanos) {
        MemberServer primary = members.primary();
        boolean primaryConnectable = primary != null && members.primaryUsable() && connectable.test(primary);
        if (!primaryQueue.isEmpty() && primaryConnectable) {
            primaryQueue.dispatch(request -> releasePace.allows(nowNanos) && place.test(request), nowNanos);
        }
        if (primaryQueue.isEmpty()) {
            releasePace.end();
        }
        if (!readQueue.isEmpty() && members.servers().stream().anyMatch(connectable)) {
            readQueue.dispatch(place, nowNanos);
        }
    }

    /** Refuses the requests whose time is over. */
    void refuseExpired(long nowNanos) {
        primaryQueue.refuseExpired(nowNanos);
        readQueue.refuseExpired(nowNanos);
    }

    /** Returns whether the pace of the release after a promotion lets a request be sent now. */
    boolean isReleased(ConnectionRequest request, long nowNanos) {
        return !request.requirements().primaryOnly() || releasePace.allows(nowNanos);
    }

    /** Records that a request was sent to a member. */
    void recordSent(ConnectionRequest request, long nowNanos) {
        if (request.requirements().primaryOnly()) {
            releasePace.recordSent(nowNanos);
        }
    }

    /** Records an answer of the primary; one to the opening of a connection says nothing of its load. */
    void recordPrimaryAnswer(MemberConnection connection, MemberAnswer answer, long nowNanos) {
        if (connection.isUsable()) {
            releasePace.recordAnswer(answer.error() == SessionError.OVERLOADED, nowNanos);
        }
    }

    /** Records how long a request used a connection. */
    void recordHold(boolean atPrimary, long nanos) {
        if (atPrimary) {
            primaryQueue.estimator().recordHold(nanos);
        }
        readQueue.estimator().recordHold(nanos);
    }

    /**
     * Begins the release of the writers that waited for a new primary.
     *
     * @param connections how many connections this daemon may have to it
     * @param nowNanos the time
     * @param dispatch places waiting requests; called when the first one may be sent
     */
    void beginRelease(int connections, long nowNanos, Runnable dispatch) {
        if (!isPrioritised() || primaryQueue.isEmpty()) {
            return;
        }
        double draw = ThreadLocalRandom.current().nextDouble();
        int daemons = context.directory().daemonsSharingLimits();
        long startNanos = releasePace.begin(nowNanos, daemons, draw, connections);
        var unused = context.eventLoops().next().schedule(dispatch, startNanos - nowNanos + 1, TimeUnit.NANOSECONDS);
    }
}
