package org.banyanhook.core.primary;

import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.banyanhook.core.configuration.BackendServer;
import org.banyanhook.core.configuration.Database;
import org.banyanhook.core.replication.LogPosition;

/** Creates groups for tests: members m0, m1, ... in failure domains d0, d1, ... */
final class TestGroups {

    static final long SECOND = 1_000_000_000L;

    private TestGroups() {}

    static Database database(int size) {
        List<BackendServer> servers = IntStream.range(0, size)
                .mapToObj(index -> new BackendServer("m" + index, "d" + index, "127.0.0.1:" + (9000 + index), false))
                .toList();
        return new Database("orders", servers, 16, 2);
    }

    static MemberObservation primary(String member, long term, long position, long readBegan) {
        return observation(member, term, MemberRole.PRIMARY, member, term, position, readBegan);
    }

    static MemberObservation replica(String member, long term, String primary, long position, long readBegan) {
        return observation(member, term, MemberRole.REPLICA, primary, term, position, readBegan);
    }

    static MemberObservation fenced(String member, long term, long lastTerm, long position, long readBegan) {
        return observation(member, term, MemberRole.FENCED, "", lastTerm, position, readBegan);
    }

    private static MemberObservation observation(
            String member, long term, MemberRole role, String primary, long lastTerm, long position, long readBegan) {
        LogPosition logPosition = new LogPosition(lastTerm, position);
        return new MemberObservation(new MemberStatus(member, term, role, logPosition, primary, 0), readBegan);
    }

    static GroupView view(MemberObservation... observations) {
        GroupView view = new GroupView(database(3), Map.of());
        for (MemberObservation observation : observations) {
            view = view.with(observation);
        }
        return view;
    }
}
