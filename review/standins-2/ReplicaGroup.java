import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The members of one service: one primary, whose log the replicas copy over a network with a delay. With one
 * synchronous replica, a commit is acknowledged once one replica has received it.
 */
final class ReplicaGroup implements AutoCloseable {
    static final long HEARTBEAT_MILLIS = 1_200;
    final String name;
    final int syncReplicas;
    private final StoreServer store;
    private final long promoteMillis;
    private final long networkMillis;
    final List<MemberServer> members = new ArrayList<>();
    private final Set<String> acknowledged = new HashSet<>();
    private final Set<String> lostAtPromotions = new HashSet<>();
    private final List<String> promotions = new ArrayList<>();
    private final Set<String> afterTakeOver = new HashSet<>();
    private long newestTerm = 3;

    record Entry(long term, long number, String requestId, String item, String data, long committedNanos) {}

    ReplicaGroup(
            String name, StoreServer store, List<String> zones, int slots, int queue, int syncReplicas, long promoteMillis, long networkMillis)
            throws IOException {
        this.name = name;
        this.store = store;
        this.syncReplicas = syncReplicas;
        this.promoteMillis = promoteMillis;
        this.networkMillis = networkMillis;
        for (String zone : zones) {
            MemberServer member = new MemberServer("i-" + name + "-" + zone, zone, this, slots, queue);
            member.primary = members.isEmpty();
            member.term = newestTerm;
            members.add(member);
        }
        Threads.start("replication", () -> {
            while (true) {
                Threads.sleep(2);
                replicate();
            }
        });
        Threads.start("heartbeats", () -> {
            while (true) {
                members.forEach(this::report);
                Threads.sleep(HEARTBEAT_MILLIS);
            }
        });
    }

    /** Writes the entry of a member to the store; one that has crashed writes nothing. */
    synchronized void report(MemberServer member) {
        if (!member.alive || member.dark) {
            return;
        }
        member.sequence++;
        store.put(
                "servers/" + member.id,
                "{\"backend\":\"" + name + "\",\"address\":\"" + member.address() + "\",\"zone\":\"" + member.zone
                        + "\",\"version\":\"v1\",\"slots\":" + member.slots + ",\"state\":\"" + (member.draining ? "draining" : "ready")
                        + "\",\"warmup_left_ms\":0,\"db_role\":\"" + (member.primary ? "primary" : "replica") + "\",\"seq\":"
                        + member.sequence + ",\"born\":" + member.bornMillis + "}");
    }

    synchronized MemberServer primary() {
        MemberServer found = null;
        for (MemberServer member : members) {
            if (member.alive && !member.dark && member.primary && (found == null || member.term > found.term)) {
                found = member;
            }
        }
        return found;
    }

    /** Appends a commit to the log of a primary; returns its number, or -1 if the member is not the primary. */
    synchronized long append(MemberServer member, String requestId, List<String[]> writes) {
        if (!member.alive || !member.primary) {
            return -1;
        }
        long number = member.lastNumber() + 1;
        long now = System.nanoTime();
        if (member.term < newestTerm) {
            afterTakeOver.add(requestId);
        }
        for (String[] write : writes) {
            member.log.add(new Entry(member.term, number, requestId, write[0], write[1], now));
        }
        return number;
    }

    /** Waits until a commit may be acknowledged; returns false if the member has crashed meanwhile. */
    boolean awaitSynchronous(MemberServer member, long number) {
        if (syncReplicas == 0) {
            return member.alive;
        }
        while (member.alive) {
            synchronized (this) {
                for (MemberServer replica : members) {
                    if (replica != member && replica.alive && replica.lastNumber() >= number) {
                        return true;
                    }
                }
            }
            Threads.sleep(1);
        }
        return false;
    }

    /** Records that a commit was acknowledged to the gateway. */
    synchronized void recordAcknowledged(String requestId) {
        acknowledged.add(requestId);
    }

    private synchronized void replicate() {
        MemberServer primary = primary();
        if (primary == null) {
            return;
        }
        long now = System.nanoTime();
        for (MemberServer replica : members) {
            if (replica == primary || !replica.alive || replica.primary || replica.deaf || replica.dark || primary.dark) {
                continue;
            }
            if (replica.term < primary.term) {
                // A replica that was ahead of the new primary is rolled back.
                int common = 0;
                while (common < replica.log.size()
                        && common < primary.log.size()
                        && replica.log.get(common).equals(primary.log.get(common))) {
                    common++;
                }
                replica.log.subList(common, replica.log.size()).clear();
                replica.term = primary.term;
            }
            while (replica.log.size() < primary.log.size()) {
                Entry next = primary.log.get(replica.log.size());
                if (now - next.committedNanos() < TimeUnit.MILLISECONDS.toNanos(networkMillis)) {
                    break;
                }
                replica.log.add(next);
            }
        }
    }

    /** The platform's promotion call; returns the status of its answer. */
    int promote(String id) {
        MemberServer chosen = members.stream().filter(member -> member.id.equals(id)).findFirst().orElse(null);
        synchronized (this) {
            if (chosen == null || !chosen.alive || chosen.dark) {
                return 409;
            }
            if (chosen.primary && chosen.term == newestTerm) {
                return 200;
            }
        }
        Threads.later(promoteMillis, () -> takeOver(chosen));
        return 200;
    }

    private void takeOver(MemberServer chosen) {
        List<MemberServer> superseded = new ArrayList<>();
        synchronized (this) {
            if (!chosen.alive || (chosen.primary && chosen.term == newestTerm)) {
                return;
            }
            newestTerm++;
            Set<String> held = new HashSet<>();
            chosen.log.forEach(entry -> held.add(entry.requestId()));
            for (String requestId : acknowledged) {
                if (!held.contains(requestId)) {
                    lostAtPromotions.add(requestId);
                }
            }
            promotions.add(chosen.id + " in term " + newestTerm + " with " + chosen.log.size() + " commits");
            chosen.primary = true;
            chosen.term = newestTerm;
            for (MemberServer member : members) {
                if (member != chosen && member.primary) {
                    superseded.add(member);
                }
            }
            report(chosen);
        }
        superseded.forEach(former -> Threads.start("superseded", () -> awaitSuccessor(former, chosen)));
    }

    /** A former primary goes on until a second after it can reach the new one, or until it is promoted again. */
    private void awaitSuccessor(MemberServer former, MemberServer successor) {
        long reachedMillis = 0;
        while (reachedMillis < 1_000) {
            Threads.sleep(20);
            reachedMillis = former.dark || successor.dark || !successor.alive ? 0 : reachedMillis + 20;
            if (!former.alive || !former.primary || former.term == newestTerm) {
                return;
            }
        }
        synchronized (this) {
            if (former.term < newestTerm) {
                former.primary = false;
                report(former);
            }
        }
    }

    /** Makes a member silent; it lives on. Its entry expires after three heartbeats. */
    void goDark(MemberServer member) {
        member.dark = true;
        Threads.later(3 * HEARTBEAT_MILLIS, () -> {
            if (member.dark) {
                store.remove("servers/" + member.id);
            }
        });
    }

    /** Ends the silence of a member; what was sent to it meanwhile is lost. */
    void endDark(MemberServer member) {
        member.resetConnections();
        member.dark = false;
        report(member);
    }

    /** Returns the commits that a primary made after another member had taken over. */
    synchronized Set<String> commitsAfterTakeOver() {
        return Set.copyOf(afterTakeOver);
    }

    synchronized void stepDown(MemberServer member, long term) {
        if (member.primary && member.term < term) {
            member.primary = false;
            report(member);
        }
    }

    /** Ends a member like a killed process; its entry expires after three heartbeats. */
    void crash(MemberServer member) {
        synchronized (this) {
            member.alive = false;
        }
        member.closeConnections();
        Threads.later(3 * HEARTBEAT_MILLIS, () -> store.remove("servers/" + member.id));
    }

    /** Starts a member again under its id; it holds and knows nothing of before. */
    void startAnewEmpty(MemberServer member) {
        member.resetConnections();
        synchronized (this) {
            member.log.clear();
            member.primary = false;
            member.term = 0;
            member.sequence = 0;
            member.bornMillis = System.currentTimeMillis();
            report(member);
        }
    }

    /** Returns the acknowledged commits that were not in the log of the member that was promoted. */
    synchronized Set<String> lostAtPromotions() {
        return Set.copyOf(lostAtPromotions);
    }

    synchronized Set<String> acknowledged() {
        return Set.copyOf(acknowledged);
    }

    synchronized List<String> promotions() {
        return List.copyOf(promotions);
    }

    @Override
    public void close() throws IOException {
        for (MemberServer member : members) {
            member.close();
        }
    }
}
