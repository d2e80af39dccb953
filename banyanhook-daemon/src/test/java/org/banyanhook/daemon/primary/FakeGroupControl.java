package org.banyanhook.daemon.primary;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import org.banyanhook.core.configuration.BackendServer;
import org.banyanhook.core.primary.MemberRole;
import org.banyanhook.core.primary.MemberStatus;
import org.banyanhook.core.replication.LogPosition;

/** The members of one group in memory. Members replicate only on command; unreachable members do not answer. */
final class FakeGroupControl implements BackendControl {

    private final Map<String, MemberStatus> members = new TreeMap<>();
    private final Set<String> unreachable = ConcurrentHashMap.newKeySet();
    private int statusReads;

    FakeGroupControl(int size) {
        for (int index = 0; index < size; index++) {
            set("m" + index, 0, MemberRole.FENCED, LogPosition.START, "");
        }
    }

    synchronized void set(String member, long term, MemberRole role, LogPosition position, String primary) {
        members.put(member, new MemberStatus(member, term, role, position, primary, 0));
    }

    synchronized MemberStatus get(String member) {
        return requireNonNull(members.get(member));
    }

    synchronized int statusReads() {
        return statusReads;
    }

    void makeUnreachable(String member) {
        unreachable.add(member);
    }

    void makeReachable(String member) {
        unreachable.remove(member);
    }

    /** Makes a member the primary of a term and the others its replicas, all at the same log position. */
    void establishPrimary(String primary, long term, long position) {
        for (String member : Set.copyOf(members.keySet())) {
            MemberRole role = member.equals(primary) ? MemberRole.PRIMARY : MemberRole.REPLICA;
            set(member, term, role, new LogPosition(term, position), primary);
        }
    }

    void advance(String member, long position) {
        MemberStatus status = get(member);
        set(member, status.term(), status.role(), new LogPosition(status.term(), position), status.primaryMember());
    }

    @Override
    public CompletableFuture<MemberStatus> status(BackendServer server, Duration timeout) {
        synchronized (this) {
            statusReads++;
        }
        return call(server, status -> status);
    }

    @Override
    public CompletableFuture<MemberStatus> fence(BackendServer server, long term, Duration timeout) {
        return call(
                server,
                status -> term <= status.term()
                        ? status
                        : new MemberStatus(server.name(), term, MemberRole.FENCED, status.position(), "", 0));
    }

    @Override
    public CompletableFuture<MemberStatus> promote(BackendServer server, long term, Duration timeout) {
        return call(
                server,
                status -> new MemberStatus(
                        server.name(),
                        term,
                        MemberRole.PRIMARY,
                        new LogPosition(term, status.position().position() + 1),
                        server.name(),
                        0));
    }

    @Override
    public CompletableFuture<MemberStatus> follow(
            BackendServer server, long term, BackendServer primary, Duration timeout) {
        LogPosition position = get(primary.name()).position();
        return call(
                server,
                status -> new MemberStatus(server.name(), term, MemberRole.REPLICA, position, primary.name(), 0));
    }

    private synchronized CompletableFuture<MemberStatus> call(
            BackendServer server, Function<MemberStatus, MemberStatus> change) {
        if (unreachable.contains(server.name())) {
            return CompletableFuture.failedFuture(new BackendControlException(
                    BackendControlException.Kind.UNREACHABLE, server.name() + " does not answer", null));
        }
        MemberStatus changed = change.apply(get(server.name()));
        members.put(server.name(), changed);
        return CompletableFuture.completedFuture(changed);
    }
}
