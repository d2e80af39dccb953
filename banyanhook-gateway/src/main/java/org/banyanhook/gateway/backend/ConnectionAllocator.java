package org.banyanhook.gateway.backend;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import org.banyanhook.core.routing.ConnectionShare;
import org.banyanhook.core.scheduling.MemberChoice.Access;
import org.banyanhook.gateway.message.MemberAnswer;
import org.banyanhook.gateway.message.SessionError;
import org.jspecify.annotations.Nullable;

/**
 * Leases connections to members to connection requests: an idle one if there is one, or else a new one within this
 * daemon's share of the member's connection limit. Used on the event loop only.
 */
final class ConnectionAllocator {

    /** Exceeds the round trip between any two regions plus the time that a member takes to accept a connection. */
    private static final int CONNECT_TIMEOUT_MILLIS = 700;

    /** Covers connecting and the member's first answer, which is queued behind its running statements. */
    private static final int OPENING_TIMEOUT_MILLIS = 1_000;

    /** How many connections beyond its share a daemon may open to one member. */
    private static final int MAXIMUM_CONNECTIONS_BEYOND_SHARE = 2;

    private final GroupContext context;
    private final MemberConnection.Owner owner;
    private final Set<MemberConnection> connections = new HashSet<>();
    private final Map<MemberConnection, PendingOpen> pendingOpens = new HashMap<>();

    private record PendingOpen(ConnectionRequest request, Placement placement, ConnectionLease lease) {}

    ConnectionAllocator(GroupContext context, MemberConnection.Owner owner) {
        this.context = context;
        this.owner = owner;
    }

    /**
     * Returns all connections of the group, including those at homes and those to members that are not listed any more.
     */
    List<MemberConnection> connections() {
        return List.copyOf(connections);
    }

    /** Returns how many connections to a member this daemon may keep. */
    int connectionShare(MemberServer server, boolean primary, IntSupplier limit) {
        OptionalInt homeShare = context.homes().ownShare(server);
        if (homeShare.isPresent()) {
            return homeShare.getAsInt();
        }
        String domain = server.entry().failureDomain();
        int daemonsInDomain = domain.equals(context.settings().failureDomain())
                ? Math.max(1, context.directory().daemonCount(domain))
                : 0;
        return ConnectionShare.perEntryVm(
                limit.getAsInt(), primary, context.directory().daemonsSharingLimits(), daemonsInDomain);
    }

    /** Returns how a connection for a request can be obtained, or null if none is available now. */
    @Nullable
    Access access(MemberServer server, ConnectionRequest request, boolean primary, IntSupplier limit, long nowNanos) {
        if (findIdle(server, request) != null) {
            return Access.IDLE_CONNECTION;
        }
        if (!request.avoidsHomes() && context.homes().isReachable(server, request.account())) {
            return Access.HOME_CONNECTION;
        }
        return ownAccess(server, primary, limit, nowNanos);
    }

    /** Returns how a connection of this daemon for any account can be obtained, or null if none is available now. */
    @Nullable
    Access ownAccess(MemberServer server, boolean primary, IntSupplier limit, long nowNanos) {
        int share = connectionShare(server, primary, limit);
        int connectionCount = server.connections().size();
        // For a while after a refused connection, a new one may only replace another.
        boolean mayAdd = server.mayAddConnection(nowNanos);
        if (mayAdd && connectionCount < share) {
            return Access.NEW_CONNECTION;
        }
        if (leastRecentlyUsedIdle(server) != null) {
            return Access.REPLACED_CONNECTION;
        }
        return mayAdd && connectionCount < share + MAXIMUM_CONNECTIONS_BEYOND_SHARE ? Access.BORROWED_CONNECTION : null;
    }

    void leaseOrOpen(MemberServer server, ConnectionRequest request, Placement placement) {
        if (placement.access() == Access.HOME_CONNECTION && useHome(server, request, placement)) {
            return;
        }
        MemberConnection idle = findIdle(server, request);
        if (idle != null) {
            idle.lent(request.isForOtherDaemon());
            request.listener().onConnectionLeased(idle.lease(placement.primary()), placement);
            return;
        }
        if (placement.access() == Access.REPLACED_CONNECTION) {
            MemberConnection replaced = leastRecentlyUsedIdle(server);
            if (replaced != null) {
                replaced.close("replaced by a connection for another account");
            }
        }
        open(server, request, placement);
    }

    private boolean useHome(MemberServer server, ConnectionRequest request, Placement placement) {
        MemberConnection connection = new MemberConnection(server, request.account(), context.clock(), owner);
        Optional<MemberTransport> home = context.homes().connect(server, request, placement.primary(), connection);
        if (home.isEmpty()) {
            return false;
        }
        connection.useHome(home.get());
        connections.add(connection);
        server.homeConnections().add(connection);
        request.listener().onConnectionLeased(connection.lease(placement.primary()), placement);
        return true;
    }

    void onOpened(MemberConnection connection, MemberAnswer answer, Consumer<ConnectionRequest> resubmit) {
        PendingOpen pendingOpen = pendingOpens.remove(connection);
        if (answer.error() != null) {
            if (answer.error() == SessionError.CONNECTION_LIMIT) {
                connection.server().recordConnectionRefusal(context.clock().nowNanos());
            } else {
                connection
                        .server()
                        .recordFailure(
                                connection.lastLeasedNanos(), context.clock().nowNanos());
            }
            resubmit(pendingOpen, resubmit);
            return;
        }
        if (pendingOpen == null) {
            return;
        }
        if (pendingOpen.request().isCancelled()) {
            connection.endLease(pendingOpen.lease());
            return;
        }
        pendingOpen.request().listener().onConnectionLeased(pendingOpen.lease(), pendingOpen.placement());
    }

    void onClosed(MemberConnection connection, String reason, Consumer<ConnectionRequest> resubmit) {
        connections.remove(connection);
        if (connection.isAtHome()) {
            connection.server().homeConnections().remove(connection);
            return;
        }
        connection.server().connections().remove(connection);
        context.metrics().count("member.connections", "change", "closed");
        context.log()
                .line("member-connection")
                .with("member", connection.server().name())
                .with("account", connection.account())
                .with("change", "closed")
                .with("reason", reason)
                .write();
        PendingOpen pendingOpen = pendingOpens.remove(connection);
        if (pendingOpen != null) {
            connection
                    .server()
                    .recordFailure(connection.lastLeasedNanos(), context.clock().nowNanos());
            resubmit(pendingOpen, resubmit);
        }
    }

    private static void resubmit(@Nullable PendingOpen pendingOpen, Consumer<ConnectionRequest> resubmit) {
        if (pendingOpen != null && !pendingOpen.request().isCancelled()) {
            resubmit.accept(pendingOpen.request());
        }
    }

    private void open(MemberServer server, ConnectionRequest request, Placement placement) {
        MemberConnection connection = new MemberConnection(server, request.account(), context.clock(), owner);
        ConnectionLease lease = connection.lease(placement.primary());
        connection.lent(request.isForOtherDaemon());
        connection.beyondShare(placement.access() == Access.BORROWED_CONNECTION);
        connections.add(connection);
        server.connections().add(connection);
        pendingOpens.put(connection, new PendingOpen(request, placement, lease));
        context.metrics().count("member.connections", "change", "opened");
        // A member may accept the connection and then not answer.
        var unused = context.eventLoops()
                .next()
                .schedule(() -> closeIfNotOpened(connection), OPENING_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        connection.connect(context, CONNECT_TIMEOUT_MILLIS);
    }

    private void closeIfNotOpened(MemberConnection connection) {
        if (pendingOpens.containsKey(connection)) {
            connection.close("timed out while opening");
        }
    }

    /**
     * Returns an idle connection for the account of a request, or null if there is none. One that has the session state
     * of the request already is preferred, since its statement need not wait for a change of the state.
     */
    private static @Nullable MemberConnection findIdle(MemberServer server, ConnectionRequest request) {
        MemberConnection found = null;
        for (MemberConnection connection : server.connections()) {
            if (connection.isIdle() && connection.account().equals(request.account())) {
                if (request.matchesSessionState(connection)) {
                    return connection;
                }
                found = found == null ? connection : found;
            }
        }
        return found;
    }

    /** Returns the least recently leased idle connection, or null if none is idle. */
    private static @Nullable MemberConnection leastRecentlyUsedIdle(MemberServer server) {
        MemberConnection oldest = null;
        for (MemberConnection connection : server.connections()) {
            boolean older = oldest == null || connection.lastLeasedNanos() - oldest.lastLeasedNanos() < 0;
            if (connection.isIdle() && older) {
                oldest = connection;
            }
        }
        return oldest;
    }
}
