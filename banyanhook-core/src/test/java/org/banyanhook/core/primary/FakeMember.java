package org.banyanhook.core.primary;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.banyanhook.core.replication.LogPosition;

/** An in-memory member with the documented semantics of fence, promote, follow, write and replicate. */
final class FakeMember {

    record Entry(long term, long value) {}

    final String name;
    final List<Entry> log = new ArrayList<>();
    long term;
    MemberRole role = MemberRole.FENCED;
    String primaryMember = "";

    FakeMember(String name) {
        this.name = name;
    }

    MemberStatus status() {
        long lastTerm = log.isEmpty() ? 0 : log.get(log.size() - 1).term();
        return new MemberStatus(name, term, role, new LogPosition(lastTerm, log.size()), primaryMember, 0);
    }

    boolean fence(long newTerm) {
        if (newTerm <= term) {
            return false;
        }
        term = newTerm;
        role = MemberRole.FENCED;
        primaryMember = "";
        return true;
    }

    /** Returns false if the call is refused; the {@code role} before the call shows whether an entry is added. */
    boolean promote(long requestedTerm) {
        if (requestedTerm != term || role == MemberRole.REPLICA) {
            return false;
        }
        if (role == MemberRole.FENCED) {
            role = MemberRole.PRIMARY;
            primaryMember = name;
            log.add(new Entry(term, 0));
        }
        return true;
    }

    boolean follow(long requestedTerm, String primary) {
        if (requestedTerm < term || (requestedTerm == term && role == MemberRole.PRIMARY)) {
            return false;
        }
        term = requestedTerm;
        role = MemberRole.REPLICA;
        primaryMember = primary;
        return true;
    }

    Optional<LogPosition> write(long requestedTerm, long value) {
        if (role != MemberRole.PRIMARY || term != requestedTerm) {
            return Optional.empty();
        }
        log.add(new Entry(term, value));
        return Optional.of(new LogPosition(term, log.size()));
    }

    void replicateFrom(FakeMember primary, int limit) {
        boolean allowed = role == MemberRole.REPLICA
                && primaryMember.equals(primary.name)
                && primary.role == MemberRole.PRIMARY
                && primary.term == term;
        if (!allowed) {
            return;
        }
        int commonPrefix = 0;
        while (commonPrefix < Math.min(log.size(), primary.log.size())
                && log.get(commonPrefix).equals(primary.log.get(commonPrefix))) {
            commonPrefix++;
        }
        log.subList(commonPrefix, log.size()).clear();
        int end = Math.min(primary.log.size(), commonPrefix + limit);
        log.addAll(primary.log.subList(commonPrefix, end));
    }
}
