package org.banyanhook.gateway.backend;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import org.banyanhook.core.routing.ConnectionShare;
import org.banyanhook.core.routing.StatementPlacement.Access;
import org.banyanhook.gateway.message.MemberAnswer;
import org.banyanhook.gateway.message.SessionError;
import org.banyanhook.gateway.port.DaemonEntry;
import org.jspecify.annotations.Nullable;

/**
 * Opens connections to members within this daemon's share of what a member takes, and hands them to the work that they
 * were opened for. Used on the event loop only.
 */
final class ConnectionOpener {

    /** Above the round trip between any two regions and the time that a member takes for a new connection. */
    private static final int CONNECT_TIMEOUT_MILLIS = 700;

    /** Connecting and the member's first answer, which waits behind its running statements. */
    private static final int OPENING_TIMEOUT_MILLIS = 1_000;

    /** How many connections beyond its share a daemon may try to open to one member. */
    private static final int BORROWED_CONNECTIONS = 2;

    private final GroupContext context;
    private final MemberConnection.Owner owner;
    private final Map<MemberConnection, Opening> openings = new HashMap<>();

    private record Opening(Work work, Placement placement) {}

    ConnectionOpener(GroupContext context, MemberConnection.Owner owner) {
        this.context = context;
        this.owner = owner;
    }

    /** Returns how many connections to a member this daemon may keep. */
    int share(MemberServer server, boolean primary, IntSupplier limit) {
        String domain = server.entry().failureDomain();
        int near = 0;
        if (domain.equals(context.settings().failureDomain())) {
            for (DaemonEntry daemon : context.directory().daemons().values()) {
                near += daemon.failureDomain().equals(domain) ? 1 : 0;
            }
            near = Math.max(1, near);
        }
        return ConnectionShare.perEntryVm(
                limit.getAsInt(), primary, context.directory().sharingDaemons(), near);
    }

    /** Returns how a connection can be had, or null if none can now. */
    @Nullable
    Access access(MemberServer server, String account, boolean primary, IntSupplier limit, long nowNanos) {
        if (idle(server, account) != null) {
            return Access.IDLE_CONNECTION;
        }
        int share = share(server, primary, limit);
        int present = server.connections().size();
        // After a refused connection only one that replaces another can be had for a while.
        boolean mayAdd = server.mayBorrow(nowNanos);
        if (mayAdd && present < share) {
            return Access.NEW_CONNECTION;
        }
        if (anyIdle(server) != null) {
            return Access.REPLACED_CONNECTION;
        }
        return mayAdd && present < share + BORROWED_CONNECTIONS ? Access.BORROWED_CONNECTION : null;
    }

    void connect(MemberServer server, Work work, Placement placement) {
        MemberConnection idle = idle(server, work.account());
        if (idle != null) {
            idle.lease();
            work.listener().onPlaced(idle, placement);
            return;
        }
        if (placement.access() == Access.REPLACED_CONNECTION) {
            MemberConnection other = anyIdle(server);
            if (other != null) {
                other.close("replaced by one for another account");
            }
        }
        open(server, work, placement);
    }

    void opened(MemberConnection connection, MemberAnswer answer, Consumer<Work> resubmit) {
        Opening opening = openings.remove(connection);
        if (answer.error() != null) {
            if (answer.error() == SessionError.CONNECTION_LIMIT) {
                connection.server().refusedConnection(context.clock().nowNanos());
            } else {
                connection.server().unreachable(context.clock().nowNanos());
            }
            resubmit(opening, resubmit);
            return;
        }
        if (opening == null || opening.work().isCancelled()) {
            connection.endLease();
            return;
        }
        opening.work().listener().onPlaced(connection, opening.placement());
    }

    void closed(MemberConnection connection, String reason, Consumer<Work> resubmit) {
        connection.server().connections().remove(connection);
        context.metrics().count("member.connections", "change", "closed");
        context.log()
                .line("member-connection")
                .with("member", connection.server().name())
                .with("account", connection.account())
                .with("change", "closed")
                .with("reason", reason)
                .write();
        Opening opening = openings.remove(connection);
        if (opening != null) {
            connection.server().unreachable(context.clock().nowNanos());
            resubmit(opening, resubmit);
        }
    }

    private static void resubmit(@Nullable Opening opening, Consumer<Work> resubmit) {
        if (opening != null && !opening.work().isCancelled()) {
            resubmit.accept(opening.work());
        }
    }

    private void open(MemberServer server, Work work, Placement placement) {
        MemberConnection connection = new MemberConnection(server, work.account(), context.clock(), owner);
        connection.lease();
        connection.borrowed(placement.access() == Access.BORROWED_CONNECTION);
        server.connections().add(connection);
        openings.put(connection, new Opening(work, placement));
        context.metrics().count("member.connections", "change", "opened");
        // A member may accept the connection and then say nothing.
        var unused = context.eventLoops()
                .next()
                .schedule(() -> giveUpOpening(connection), OPENING_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        connection.connect(context, CONNECT_TIMEOUT_MILLIS);
    }

    private void giveUpOpening(MemberConnection connection) {
        if (openings.containsKey(connection)) {
            connection.close("not ready in time");
        }
    }

    private static @Nullable MemberConnection idle(MemberServer server, String account) {
        for (MemberConnection connection : server.connections()) {
            if (connection.isIdle() && connection.account().equals(account)) {
                return connection;
            }
        }
        return null;
    }

    /** Returns the idle connection that was used the longest time ago, or null if none is idle. */
    private static @Nullable MemberConnection anyIdle(MemberServer server) {
        MemberConnection oldest = null;
        for (MemberConnection connection : server.connections()) {
            boolean older = oldest == null || connection.lastUsedNanos() - oldest.lastUsedNanos() < 0;
            if (connection.isIdle() && older) {
                oldest = connection;
            }
        }
        return oldest;
    }
}
